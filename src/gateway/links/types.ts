/**
 * What gateways observe and tell each other of their links to backend servers.
 */
import type { ProbeOutcome } from '../backends/probe.js';

/** What a gateway has observed at a backend server. */
export type LinkEvidence =
  /** No connection could be opened. */
  | 'unreachable'
  /** Nothing came over an open connection. */
  | 'silent';

/** Who is at fault. */
export type LinkVerdict = 'server' | 'link' | 'unclear';

/** Result of a check for another gateway. */
export type ServerCheck =
  | Exclude<ProbeOutcome, { kind: 'coolingDown' | 'unclear' }>
  /** The asked gateway can't tell: it doesn't know the server or has lost its own links. */
  | { kind: 'unknown' };
