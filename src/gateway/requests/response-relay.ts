/**
 * Relays responses of backend servers to callers.
 */
import type { RequestCodec } from '../../ports/index.js';
import type { AttemptResponse } from '../backends/attempt.js';
import type { Reply } from './reply.js';
import type { TrackedAttempt } from './tracked-attempt.js';

/** Whether a response is a success, signed by the backend server and without content encoding. */
export function isValidSuccess(response: AttemptResponse): boolean {
  const isSuccess = response.status >= 200 && response.status < 300;
  return isSuccess && response.signed && !response.encoded && !response.notRun;
}

/** Relays a response that was read to its end, with its length. */
export function sendBuffered(
  reply: Reply,
  codec: RequestCodec,
  { status, headers }: AttemptResponse,
  body: Buffer,
): void {
  reply.send(status, codec.filterResponseHeaders(headers), body);
}

/** Relays events with backpressure from the caller; `bytes` may be empty. */
export function relayEvents(
  reply: Reply,
  codec: RequestCodec,
  attempt: TrackedAttempt,
  response: AttemptResponse,
  bytes: Buffer,
): void {
  if (reply.isUnsent) reply.start(response.status, codec.filterResponseHeaders(response.headers));
  if (bytes.length === 0 || reply.write(bytes)) return;
  attempt.pause();
  reply.onDrain(() => {
    attempt.resume();
  });
}
