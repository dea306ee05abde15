/**
 * Reading a request's body whole.
 */
import type { IncomingMessage } from 'node:http';

/** A body, or why there is none. */
export type BodyRead =
  | { kind: 'read'; body: Buffer | undefined }
  | { kind: 'tooLarge' }
  /** The caller left before the end. */
  | { kind: 'aborted' }
  /** It was not whole when it was given up here. */
  | { kind: 'givenUp' };

/** A body that is being read. */
export interface BodyReading {
  result: Promise<BodyRead>;
  /** Waits for it no longer; what still comes is dropped. Nothing happens once there is a result. */
  giveUp(): void;
}

/** The body of `incoming`; undefined inside when the request has none. Keeps no more than `maxBytes`. */
export function readBody(incoming: IncomingMessage, maxBytes: number): BodyReading {
  let chunks: Buffer[] = [];
  let bytes = 0;
  let settle: (read: BodyRead) => void = () => undefined;
  const result = new Promise<BodyRead>((resolve) => {
    settle = resolve;
  });
  const drop = (read: BodyRead): void => {
    chunks = [];
    bytes = Infinity;
    settle(read);
  };
  incoming.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) drop({ kind: 'tooLarge' });
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
    giveUp: () => {
      drop({ kind: 'givenUp' });
    },
  };
}
