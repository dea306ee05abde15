/**
 * What a backend server says in a response about its own availability.
 */
import type { Milliseconds } from '../core/clock/index.js';

/** How long a server that refused a request is to get no other one from this gateway. */
export type RetryAfter =
  | { kind: 'none' }
  | { kind: 'named'; forMs: Milliseconds }
  /** The value can't be read as a time. */
  | { kind: 'unreadable' };

export interface ServerNotice {
  /** The server is shutting down. */
  leaving: boolean;
  retryAfter: RetryAfter;
  /** How much longer the server is cold; absent if the response does not say. */
  coldForMs?: Milliseconds;
}
