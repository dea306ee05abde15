/**
 * Determines by how many entries a limit is divided, such that the sum of the shares stays within
 * the limit even while entries have different views of the fleet.
 *
 * An entry uses its part of the divided limit only while its list of entries is fresh and after it
 * has been listed for {@link settleMs}. By then, every entry with a fresh list counts it, and every
 * other one has stopped using its part. An entry that left the list is counted for the same time.
 * So entries that use their parts at the same time always count each other.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { MAX_LIST_LAG_MS, LOAN_MARGIN_MS, LOAN_DURATION_MS, VIEW_MARGIN_MS } from './constants.js';
import { listConfirmedAt, isListHeldByPeer, type EntryListStatus } from './entry-list.js';
import type { ShareOptions, ShareState } from './share-state.js';

/**
 * Updates the view with the platform's list of live and leaving entries and its freshness.
 *
 * @example observeEntries(state, status, clock.now());
 */
export function observeEntries(
  state: ShareState,
  status: EntryListStatus,
  now: Milliseconds,
): void {
  expireView(state, now);
  const { view } = state;
  view.confirmedAt = Math.max(view.confirmedAt, listConfirmedAt(status));
  const names = new Set(status.listed);
  for (const name of names) view.countedEntries.set(name, undefined);
  for (const [name, since] of view.countedEntries) {
    if (names.has(name)) continue;
    if (since === undefined) view.countedEntries.set(name, now);
    else if (now - since > settleMs(state.options)) view.countedEntries.delete(name);
  }
  if (!names.has(state.name) || !isViewFresh(state, now)) delete view.listedSince;
  else if (view.listedSince === undefined && isListHeldByPeer(status)) view.listedSince = now;
}

/** The fraction of a limit that this entry may use from the divided part. */
export function dividedFraction(state: ShareState, now: Milliseconds): number {
  expireView(state, now);
  const { view, options } = state;
  if (view.listedSince === undefined) return 0;
  if (now - view.listedSince < settleMs(options)) return 0;
  return (1 - options.guaranteedFraction) / Math.max(1, view.countedEntries.size);
}

/** When the view expires unless the list is confirmed again. */
export function viewExpiresAt(state: ShareState): Milliseconds {
  return state.view.confirmedAt + state.options.viewFreshMs;
}

/**
 * The time after which a change of the list has reached every entry that still uses the divided part.
 * Covers the list's lag, the freshness period of an old list and the loans granted until then.
 */
export function settleMs(options: ShareOptions): Milliseconds {
  return MAX_LIST_LAG_MS + options.viewFreshMs + LOAN_DURATION_MS + LOAN_MARGIN_MS + VIEW_MARGIN_MS;
}

/**
 * Resets the listed period if the list was not confirmed in time: this entry may have been removed
 * and added again in the meantime, and others may have stopped counting it.
 */
function expireView(state: ShareState, now: Milliseconds): void {
  if (!isViewFresh(state, now)) delete state.view.listedSince;
}

function isViewFresh(state: ShareState, now: Milliseconds): boolean {
  return now < viewExpiresAt(state);
}
