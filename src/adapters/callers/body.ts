/**
 * Request bodies read whole, within bounds of size and time.
 */
import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';

/** Bounds of one body. */
export interface BodyBounds {
  maxBytes: number;
  timeoutMs: Milliseconds;
}

type BodyFailure = Failure<'bodyTooLarge' | 'senderTooSlow' | 'callerGone'>;

/**
 * The whole body of `request`. Reading stops at the first byte past the bound: a declared length
 * is not believed, and a sender of endless chunks can't fill the memory. After a failure the
 * request is paused and its connection must be closed with the answer.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, timeoutMs }: BodyBounds,
): Promise<Result<Buffer, BodyFailure>> {
  const tooLarge = createFailure('bodyTooLarge', { limitBytes: maxBytes });
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return Promise.resolve(err(tooLarge));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(() => {
      finish(err(createFailure('senderTooSlow', { limitMs: timeoutMs })));
    }, timeoutMs);
    const finish = (result: Result<Buffer, BodyFailure>): void => {
      clearTimeout(timer);
      request.off('data', onData).off('end', onEnd).off('close', onClose);
      if (result.isErr()) request.pause();
      resolve(result);
    };
    const onData = (chunk: Buffer): void => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes > maxBytes) finish(err(tooLarge));
    };
    const onEnd = (): void => {
      finish(ok(Buffer.concat(chunks, bytes)));
    };
    const onClose = (): void => {
      finish(err(createFailure('callerGone')));
    };
    request.on('data', onData).on('end', onEnd).on('close', onClose);
  });
}
