/**
 * When the claimant of a call is taken as gone for good.
 *
 * Taking a living claimant for lost does no harm to the guarantees: its record then says that the
 * outcome is unknown, and it never runs again. It only costs the answer, so the spans are long.
 * A claim's age is counted from when this entry first met it, since wall clocks are not compared.
 */
import type { Peers } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { CallRecord, StoredObject } from '../../objects/index.js';
import { HEARD_CLAIM_MS, MAX_OBSERVED_CLAIMS, REPLACED_CLAIM_MS } from './constants.js';
import type { Claimant } from './call-state.js';

/** Claims of others that this entry met, by record and version, and when it first did. */
export type ObservedClaims = Map<string, Milliseconds>;

/**
 * Whether the claimant of `record` is lost, and notes the claim in `observed`.
 *
 * @param self the entry that asks.
 * @param unheardClaimMs how long a claim stands when its claimant is not heard of.
 */
export function observeClaim(
  observed: ObservedClaims,
  record: CallRecord,
  stored: StoredObject,
  self: Claimant,
  peers: Peers,
  unheardClaimMs: Milliseconds,
  now: Milliseconds,
): boolean {
  // Names of entries are unique: an earlier start of this very entry has ended.
  if (record.entry === self.entry && record.incarnation !== self.incarnation) return true;

  const id = `${stored.name}@${stored.version}`;
  const since = observed.get(id) ?? now;
  noteClaim(observed, id, since);
  return now - since >= boundClaim(record, self, peers, unheardClaimMs);
}

function boundClaim(
  record: CallRecord,
  self: Claimant,
  peers: Peers,
  unheardClaimMs: Milliseconds,
): Milliseconds {
  if (record.entry === self.entry) return HEARD_CLAIM_MS;
  const peer = peers.get(record.entry);
  if (peer === undefined) return unheardClaimMs;
  return peer.incarnation === record.incarnation ? HEARD_CLAIM_MS : REPLACED_CLAIM_MS;
}

function noteClaim(observed: ObservedClaims, id: string, since: Milliseconds): void {
  observed.delete(id);
  observed.set(id, since);
  if (observed.size <= MAX_OBSERVED_CLAIMS) return;
  const [oldest] = observed.keys();
  if (oldest !== undefined) observed.delete(oldest);
}
