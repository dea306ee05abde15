/**
 * Calls to other entries over tRPC.
 */
import { createTRPCClient, type TRPCClient } from '@trpc/client';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Agent, type Dispatcher } from 'undici';
import type * as z from 'zod';
import { digestMessageSchema } from '../../controllers/membership/index.js';
import { createConnector, requireFinalResponse } from '../../core/sockets/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure } from '../../core/errors/index.js';
import { codec } from './codec.js';
import { changePageSchema, type PeerRouter } from './router.js';
import { createRpcLink } from './rpc-link.js';
import type { PeerClient, PeerFailure } from './types.js';

/** A page of configuration is the longest answer: 400 objects of some kilobytes. */
const ANSWER_BYTES = 16_777_216;

export interface PeerClientOptions {
  /** Longest time that one call takes, with connecting. */
  timeoutMs: Milliseconds;
  /** Called with the bytes of each request, its headers included by estimate. */
  onSent?: (bytes: number) => void;
}

/**
 * A client for all peers; connections are kept open between calls.
 *
 * @example
 * const peers = createPeerClient({ timeoutMs: 1_000 });
 * const answer = await peers.exchange('10.0.0.8:7002', message);
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const { timeoutMs } = options;
  const agent = new Agent({
    connect: createConnector(timeoutMs),
    bodyTimeout: timeoutMs,
    headersTimeout: timeoutMs,
    connections: 2,
    maxResponseSize: ANSWER_BYTES,
  });
  const limited = agent.compose(requireFinalResponse);
  const clients = new Map<string, TRPCClient<PeerRouter>>();
  const resolveClient = (address: string): TRPCClient<PeerRouter> => {
    const client = clients.get(address) ?? connectPeer(address, limited, options);
    clients.set(address, client);
    return client;
  };
  return {
    exchange: (address, message) =>
      callPeer(address, digestMessageSchema, () =>
        resolveClient(address).digest.exchange.mutate(message, {
          signal: AbortSignal.timeout(timeoutMs),
        }),
      ),
    changesSince: (address, since) =>
      callPeer(address, changePageSchema, () =>
        resolveClient(address).configuration.since.query(
          { since },
          { signal: AbortSignal.timeout(timeoutMs) },
        ),
      ),
    close: () => agent.destroy(),
  };
}

function connectPeer(
  address: string,
  dispatcher: Dispatcher,
  { onSent }: PeerClientOptions,
): TRPCClient<PeerRouter> {
  const link = createRpcLink<PeerRouter>(address, dispatcher, {
    transformer: codec,
    ...(onSent && { onSent }),
  });
  return createTRPCClient<PeerRouter>({ links: [link] });
}

function callPeer<Schema extends z.ZodType>(
  address: string,
  schema: Schema,
  call: () => Promise<unknown>,
): ResultAsync<z.infer<Schema>, PeerFailure> {
  const answer = ResultAsync.fromPromise(call(), (error) =>
    createFailure('unreachable', { name: address, reason: describeError(error) }),
  );
  return answer.andThen((value) => checkAnswer(address, schema, value));
}

function checkAnswer<Schema extends z.ZodType>(
  address: string,
  schema: Schema,
  value: unknown,
): Result<z.infer<Schema>, PeerFailure> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const reason = parsed.error.issues[0]?.message ?? 'not valid';
  return err(createFailure('messageInvalid', { from: address, reason }));
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : 'unknown error';
}
