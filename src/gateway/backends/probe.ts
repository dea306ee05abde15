/**
 * What the answer to a probe says of a backend server.
 */
import type { BackendServer, OrderCodec } from '../../ports/index.js';

/** Result of probing a backend server. */
export type ProbeOutcome =
  | { kind: 'answers'; pace: number }
  | { kind: 'silent' }
  /** Not asked, because it is in a cooldown that it has named itself. */
  | { kind: 'coolingDown' }
  /** Without an answer, but neither do other servers of the service answer this gateway. */
  | { kind: 'unclear' }
  /** Nothing listens there, or another backend server or a restarted process does. */
  | { kind: 'gone' };

const MISDIRECTED_REQUEST_STATUS = 421;

/** Reads the answer to a probe of `server`. */
export function readProbe(
  codec: Pick<OrderCodec, 'decodeReport'>,
  { startedAt }: Pick<BackendServer, 'startedAt'>,
  status: number,
  body: string,
): Extract<ProbeOutcome, { kind: 'answers' | 'gone' }> {
  if (status === MISDIRECTED_REQUEST_STATUS) return { kind: 'gone' };
  const report = codec.decodeReport(body);
  const isOtherProcess = report?.startedAt !== undefined && report.startedAt !== startedAt;
  if (isOtherProcess && startedAt !== undefined) return { kind: 'gone' };
  return { kind: 'answers', pace: report?.pace ?? 1 };
}
