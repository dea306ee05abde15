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

/**
 * Relays a response that was read to its end.
 *
 * A close-delimited response may have been truncated without a trace. It is relayed close-delimited
 * too: with a `Content-Length` the caller would take a truncated body for a complete one.
 */
export function sendBuffered(
  reply: Reply,
  codec: RequestCodec,
  { status, framing, headers }: AttemptResponse,
  body: Buffer,
): void {
  const responseHeaders = codec.filterResponseHeaders(headers);
  if (framing !== 'connection') {
    reply.send(status, responseHeaders, body);
    return;
  }
  reply.start(status, responseHeaders, true);
  reply.write(body);
  reply.end();
}

/** Relays events with backpressure from the caller; `bytes` may be empty. */
export function relayEvents(
  reply: Reply,
  codec: RequestCodec,
  attempt: TrackedAttempt,
  response: AttemptResponse,
  bytes: Buffer,
): void {
  if (reply.isUnsent) {
    const isCloseDelimited = response.framing === 'connection';
    reply.start(response.status, codec.filterResponseHeaders(response.headers), isCloseDelimited);
  }
  if (bytes.length === 0 || reply.write(bytes)) return;
  attempt.pause();
  reply.onDrain(() => {
    attempt.resume();
  });
}
