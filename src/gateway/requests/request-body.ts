/**
 * Buffers a request body up to a size limit.
 */
import type { IncomingMessage } from 'node:http';

/** The body, or why it could not be read. */
export type BodyResult =
  | { kind: 'read'; body: Buffer | undefined }
  | { kind: 'tooLarge' }
  /** The caller disconnected before the end of the body. */
  | { kind: 'aborted' }
  /** `cancel` was called before the end of the body. */
  | { kind: 'cancelled' };

/** A read in progress. */
export interface BodyReader {
  result: Promise<BodyResult>;
  /** Stops waiting and discards the rest of the body. Does nothing once there is a result. */
  cancel(): void;
}

/**
 * Reads the body of `incoming` and buffers at most `maxBytes`. `body` is undefined when the request
 * has none.
 */
export function readBody(incoming: IncomingMessage, maxBytes: number): BodyReader {
  let chunks: Buffer[] = [];
  let bytes = 0;
  let settle: (outcome: BodyResult) => void = () => undefined;
  const result = new Promise<BodyResult>((resolve) => {
    settle = resolve;
  });
  const discard = (outcome: BodyResult): void => {
    chunks = [];
    bytes = Infinity;
    settle(outcome);
  };
  incoming.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) discard({ kind: 'tooLarge' });
    else chunks.push(chunk);
  });
  incoming.once('end', () => {
    const { headers } = incoming;
    const hasBody =
      headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
    settle({ kind: 'read', body: hasBody ? Buffer.concat(chunks) : undefined });
  });
  incoming.once('close', () => {
    settle({ kind: 'aborted' });
  });
  incoming.once('error', () => {
    settle({ kind: 'aborted' });
  });
  return {
    result,
    cancel: () => {
      discard({ kind: 'cancelled' });
    },
  };
}
