/**
 * The bodies of calls between our own processes: one JSON value there, one answer back.
 */
import type { TRPCErrorShape } from '@trpc/server';

/** Both ends of an encoding of inputs and results, as tRPC defines it. */
export interface RpcTransformer {
  input: RpcEncoding;
  output: RpcEncoding;
}

interface RpcEncoding {
  serialize(value: unknown): unknown;
  deserialize(value: unknown): unknown;
}

/** What a listener answers; the error in tRPC's own shape. */
export type RpcAnswer = { result: { data: unknown } } | { error: TRPCErrorShape };

/** The result in `text`; throws the error in it, or that it is no answer. */
export function readRpcAnswer(text: string, transformer?: RpcTransformer): unknown {
  const answer = JSON.parse(text) as Partial<{
    result: { data: unknown };
    error: { message?: unknown };
  }> | null;
  if (answer?.result === undefined) {
    const message = answer?.error?.message;
    throw new Error(typeof message === 'string' ? message : 'not an answer');
  }
  const { data } = answer.result;
  return transformer ? transformer.output.deserialize(data) : data;
}
