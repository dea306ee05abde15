/**
 * Detects claimants that are permanently lost.
 *
 * A false positive is safe: the outcome is recorded as unknown and the call never runs again. But
 * its response can't be replayed, so the timeouts are long. A claim's age counts from its first
 * observation by this entry, as wall clocks of different entries are not comparable.
 */
import type { Peers } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { CallRecord, StoredObject } from '../../objects/index.js';
import {
  LIVE_CLAIMANT_TIMEOUT_MS,
  MAX_OBSERVED_CLAIMS,
  RESTARTED_CLAIMANT_TIMEOUT_MS,
} from './constants.js';
import type { Claimant } from './call-state.js';

/** Time at which this entry first observed each claim, by record name and version. */
export type ObservedClaims = Map<string, Milliseconds>;

/**
 * Returns whether the claimant of `record` is lost, and records the claim in `observed`.
 *
 * @param self this entry in its current incarnation.
 * @param unheardClaimMs age at which a claim expires if its claimant is not in the peer table.
 */
export function checkClaimantLost(
  observed: ObservedClaims,
  record: CallRecord,
  stored: StoredObject,
  self: Claimant,
  peers: Peers,
  unheardClaimMs: Milliseconds,
  now: Milliseconds,
): boolean {
  // Entry names are unique, so an earlier incarnation of this entry has ended.
  if (record.entry === self.entry && record.incarnation !== self.incarnation) return true;

  const id = `${stored.name}@${stored.version}`;
  const since = observed.get(id) ?? now;
  recordObservation(observed, id, since);
  return now - since >= getClaimTimeout(record, self, peers, unheardClaimMs);
}

function getClaimTimeout(
  record: CallRecord,
  self: Claimant,
  peers: Peers,
  unheardClaimMs: Milliseconds,
): Milliseconds {
  if (record.entry === self.entry) return LIVE_CLAIMANT_TIMEOUT_MS;
  const peer = peers.get(record.entry);
  if (peer === undefined) return unheardClaimMs;
  return peer.incarnation === record.incarnation
    ? LIVE_CLAIMANT_TIMEOUT_MS
    : RESTARTED_CLAIMANT_TIMEOUT_MS;
}

function recordObservation(observed: ObservedClaims, id: string, since: Milliseconds): void {
  observed.delete(id);
  observed.set(id, since);
  if (observed.size <= MAX_OBSERVED_CLAIMS) return;
  const [oldest] = observed.keys();
  if (oldest !== undefined) observed.delete(oldest);
}
