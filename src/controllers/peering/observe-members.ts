/**
 * What a digest of another gateway tells of the members that share the limits of the fleet.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { FleetMembers } from '../quotas/index.js';
import type { Digest } from './types.js';

/**
 * Records the gateways in a digest that was received at `now`. A response confirms its sender, which
 * has processed the digest that it answers.
 */
export function observeMembers(
  members: FleetMembers,
  digest: Digest,
  now: Milliseconds,
  isResponse: boolean,
): void {
  members.renewLease(now);
  members.observeHeard(digest.name, now);
  for (const summary of digest.summaries ?? []) {
    const createdAt = now - summary.ageMs;
    for (const { name, ageMs } of summary.members) members.observeHeard(name, createdAt - ageMs);
  }
  if (isResponse || digest.membersHash === members.fingerprint) members.confirm(digest.name, now);
  for (const summary of digest.summaries ?? []) {
    if (summary.membersHash !== members.fingerprint) continue;
    for (const { name } of summary.members) members.confirm(name, now);
  }
}
