/**
 * Reading a request's body whole.
 */
import type { IncomingMessage } from 'node:http';

/** A body, or why there is none. */
export type BodyRead =
  | { kind: 'read'; body: Buffer | undefined }
  | { kind: 'tooLarge' }
  /** The caller left before the end. */
  | { kind: 'aborted' };

/** The body of `incoming`; undefined inside when the request has none. Reads no more than `maxBytes`. */
export function readBody(incoming: IncomingMessage, maxBytes: number): Promise<BodyRead> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    incoming.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) resolve({ kind: 'tooLarge' });
      else chunks.push(chunk);
    });
    incoming.once('end', () => {
      const { headers } = incoming;
      const hasBody =
        headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
      resolve({ kind: 'read', body: hasBody ? Buffer.concat(chunks) : undefined });
    });
    incoming.once('close', () => {
      resolve({ kind: 'aborted' });
    });
    incoming.once('error', () => {
      resolve({ kind: 'aborted' });
    });
  });
}
