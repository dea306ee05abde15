/**
 * How many entries divide a limit, so that entries with different views never divide it by too few.
 *
 * An entry uses its part of the divided limit only while its list of entries is fresh, and only
 * after it has seen itself listed for {@link settleMs}: by then every entry that acts on a fresh
 * list counts it, and every other one has stopped using its part. For the same reason an entry that
 * left the list is counted for that long.
 *
 * Guards against a sum of shares above the limit: a newcomer that takes its part before all others
 * have made theirs smaller, or an entry cut off from the list that keeps the larger part of a
 * smaller fleet. Two entries that use their parts at the same time count each other, so each
 * divides by at least the number of those that do.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { LIST_LAG_MS, LOAN_GUARD_MS, LOAN_MS, VIEW_GUARD_MS } from './constants.js';
import { confirmList, isListKnown, type ListNews } from './entry-list.js';
import type { ShareOptions, ShareState } from './share-state.js';

/**
 * Takes in the platform's list of entries, live and leaving, and what is known of its age.
 *
 * @example observeEntries(state, news, clock.now());
 */
export function observeEntries(state: ShareState, news: ListNews, now: Milliseconds): void {
  lapseView(state, now);
  const { view } = state;
  view.confirmedAt = Math.max(view.confirmedAt, confirmList(news));
  const names = new Set(news.listed);
  for (const name of names) view.missingSince.set(name, undefined);
  for (const [name, since] of view.missingSince) {
    if (names.has(name)) continue;
    if (since === undefined) view.missingSince.set(name, now);
    else if (now - since > settleMs(state.options)) view.missingSince.delete(name);
  }
  if (!names.has(state.name) || !isFresh(state, now)) delete view.listedSince;
  else if (view.listedSince === undefined && isListKnown(news)) view.listedSince = now;
}

/** The part of the divided limit that this entry may use now. */
export function dividedFraction(state: ShareState, now: Milliseconds): number {
  lapseView(state, now);
  const { view, options } = state;
  if (view.listedSince === undefined) return 0;
  if (now - view.listedSince < settleMs(options)) return 0;
  return (1 - options.guaranteedFraction) / Math.max(1, view.missingSince.size);
}

/** When the part of the divided limit ends unless the list is confirmed again. */
export function viewLapsesAt(state: ShareState): Milliseconds {
  return state.view.confirmedAt + state.options.viewFreshMs;
}

/**
 * How long a change of the list takes to be either known or no longer needed at every entry: the
 * list's lag, the longest time that an old one is acted on, and loans made until then.
 */
export function settleMs(options: ShareOptions): Milliseconds {
  return LIST_LAG_MS + options.viewFreshMs + LOAN_MS + LOAN_GUARD_MS + VIEW_GUARD_MS;
}

/**
 * Starts over once the list was not confirmed in time: this entry may have been taken off it and
 * put back meanwhile, and others may have stopped counting it.
 */
function lapseView(state: ShareState, now: Milliseconds): void {
  if (!isFresh(state, now)) delete state.view.listedSince;
}

function isFresh(state: ShareState, now: Milliseconds): boolean {
  return now < viewLapsesAt(state);
}
