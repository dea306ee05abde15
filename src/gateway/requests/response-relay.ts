/**
 * What of a backend server's answer reaches the caller, and in which form.
 */
import type { RequestDialect } from '../../ports/index.js';
import type { AttemptAnswer } from '../backends/attempt.js';
import type { Reply } from './reply.js';
import type { Sending } from './tracked-attempt.js';

/** A success that is the backend server's own, whole and unchanged so far. */
export function isGood(answer: AttemptAnswer): boolean {
  const isSuccess = answer.status >= 200 && answer.status < 300;
  return isSuccess && answer.signed && !answer.encoded && !answer.notRun;
}

/**
 * Passes on an answer that was read to its end.
 *
 * Guards against an answer that is cut off and looks whole. One without a length may have been cut
 * with nothing to show it; it is passed on as it came, and its end is no more than the end of the
 * connection for the caller as well.
 */
export function sendPlain(
  reply: Reply,
  dialect: RequestDialect,
  { status, framing, headers }: AttemptAnswer,
  body: Buffer,
): void {
  const relayed = dialect.relayAnswer(headers);
  if (framing !== 'connection') {
    reply.sendWhole(status, relayed, body);
    return;
  }
  reply.begin(status, relayed, true);
  reply.write(body);
  reply.end();
}

/** Passes on events, at the pace at which the caller reads; `bytes` may be empty. */
export function relayEvents(
  reply: Reply,
  dialect: RequestDialect,
  sending: Sending,
  answer: AttemptAnswer,
  bytes: Buffer,
): void {
  if (reply.isUnsent) {
    const isEndedByConnection = answer.framing === 'connection';
    reply.begin(answer.status, dialect.relayAnswer(answer.headers), isEndedByConnection);
  }
  if (bytes.length === 0 || reply.write(bytes)) return;
  sending.pause();
  reply.onDrain(() => {
    sending.resume();
  });
}
