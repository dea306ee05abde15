/**
 * The tRPC link of calls between our own processes.
 *
 * Written for one message there and one back over a kept connection: tRPC's own link makes a request
 * of the browser's kind for each call, with signals, headers and streams that nobody uses here.
 */
import { TRPCClientError, type TRPCLink } from '@trpc/client';
import type { AnyRouter } from '@trpc/server';
import { observable } from '@trpc/server/observable';
import type { Dispatcher } from 'undici';
import { readRpcAnswer, type RpcTransformer } from './rpc-messages.js';

/** Request line and headers beside the address, in bytes. */
const REQUEST_OVERHEAD_BYTES = 110;

/** What a link may have beside its address. */
export interface RpcLinkOptions {
  /** Encodes requests and decodes answers; plain JSON without it. */
  transformer?: RpcTransformer;
  /** Called with the bytes of each request, its headers by estimate. */
  onSent?: (bytes: number) => void;
}

/** A link to `address` (`host:port`). */
export function createRpcLink<Router extends AnyRouter>(
  address: string,
  dispatcher: Dispatcher,
  { transformer, onSent }: RpcLinkOptions = {},
): TRPCLink<Router> {
  const origin = `http://${address}`;
  const call = async (
    path: string,
    input: unknown,
    signal: AbortSignal | null,
  ): Promise<unknown> => {
    const value = transformer ? transformer.input.serialize(input) : input;
    const sent = JSON.stringify(value ?? null);
    onSent?.(REQUEST_OVERHEAD_BYTES + origin.length + path.length + sent.length);
    const { body } = await dispatcher.request({
      origin,
      path: `/${path}`,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: sent,
      signal,
    });
    return readRpcAnswer(await body.text(), transformer);
  };
  return () =>
    ({ op }) =>
      observable((observer) => {
        call(op.path, op.input, op.signal ?? null).then(
          (data) => {
            observer.next({ result: { type: 'data', data } });
            observer.complete();
          },
          (error: unknown) => {
            observer.error(
              TRPCClientError.from(error instanceof Error ? error : new Error(String(error))),
            );
          },
        );
      });
}
