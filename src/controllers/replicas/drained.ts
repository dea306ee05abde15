/**
 * Which draining replicas have nothing in flight any more.
 */
import type { Attempts, Health, Peers } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { DomainPlan, Replica } from '../../objects/index.js';

/** What is known of requests in flight. */
export interface InFlightView {
  attempts: Attempts;
  peers: Peers;
  health: Health;
  /** An entry unheard for longer is not counted as live. */
  forgetMs: Milliseconds;
}

/**
 * The ids of the draining replicas that may be released without cutting a request off.
 *
 * Three have to agree: this entry, every live entry, and the engine. An entry that has not seen the
 * plan yet may be sending at this moment, and its silence must not read as "none": its digest has
 * to name the replica with a count of 0. The engine has to be draining, so that it takes nothing
 * new from an entry that is cut off from all others.
 */
export function listDrained(plan: DomainPlan, view: InFlightView, now: Milliseconds): Set<string> {
  const drained = plan.replicas.filter(
    (replica) =>
      replica.phase === 'draining' &&
      (view.attempts.inFlight.get(replica.id) ?? 0) === 0 &&
      isEngineEmpty(view.health, replica) &&
      arePeersDone(view, replica.id, now),
  );
  return new Set(drained.map(({ id }) => id));
}

function isEngineEmpty(health: Health, replica: Replica): boolean {
  const leader = replica.members[0]?.instance ?? '';
  const report = health.get(leader)?.report;
  if (report?.replica?.id !== replica.id) return false;
  // The order to drain carries the number of the draining plan: an older report is from before it.
  return report.state === 'draining' && report.fence >= replica.fence && report.inFlight === 0;
}

function arePeersDone(view: InFlightView, id: string, now: Milliseconds): boolean {
  for (const peer of view.peers.values()) {
    if (now - peer.heardAt >= view.forgetMs) continue;
    const known = peer.draining.find(({ target }) => target === id);
    if (known?.count !== 0) return false;
  }
  return true;
}
