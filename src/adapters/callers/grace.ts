/**
 * How a request ends that is not answered when the grace of its entry's stop is over.
 */
import type { RequestHead } from './types.js';

/** The reason of the abort. Its caller is there and awaits an answer, unlike after any other abort. */
export const GRACE_OVER = Symbol('the grace of the stop is over');

/** Whether the entry stops before the request was answered. */
export function isGraceOver({ signal }: Pick<RequestHead, 'signal'>): boolean {
  return signal.aborted && signal.reason === GRACE_OVER;
}
