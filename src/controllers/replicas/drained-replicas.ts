/**
 * Finds the draining replicas that have no requests in flight.
 */
import type { Attempts, Health, Peer, Peers } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { DomainPlan, Replica } from '../../objects/index.js';
import { evaluateDrain } from '../drains/drain-safety.js';

/** Known requests in flight. */
export interface InFlightView {
  attempts: Attempts;
  peers: Peers;
  health: Health;
  /** Entries not heard from for this long are ignored. */
  forgetMs: Milliseconds;
}

/**
 * The ids of the draining replicas that can be released without interrupting a request.
 *
 * This entry, every live entry and the engine must all report zero requests in flight. An entry that
 * has not seen the plan yet may still be sending, so its digest must name the replica with a count
 * of 0; a missing count does not mean none.
 *
 * Entries that are listed but not heard from are not waited for. The engine drains under the plan's
 * fencing token and rejects new requests, which their senders retry elsewhere; requests accepted
 * earlier are in its own count. The drain of an instance that cannot reject requests has no such
 * report and waits for silent entries as well.
 */
export function listDrainedReplicas(
  plan: DomainPlan,
  view: InFlightView,
  now: Milliseconds,
): Set<string> {
  const entries = [...view.peers.values()].filter(({ heardAt }) => now - heardAt < view.forgetMs);
  const drained = plan.replicas.filter(
    (replica) =>
      replica.phase === 'draining' &&
      isLeaderDrained(view.health, replica) &&
      areEntriesDrained(view, entries, replica.id),
  );
  return new Set(drained.map(({ id }) => id));
}

function isLeaderDrained(health: Health, replica: Replica): boolean {
  const leader = replica.members[0]?.instance ?? '';
  const report = health.get(leader)?.report;
  if (report?.replica?.id !== replica.id) return false;
  // A report with a lower fence predates the drain order.
  return report.state === 'draining' && report.fence >= replica.fence && report.inFlight === 0;
}

/** The engine is checked separately in `isLeaderDrained`, hence `reported: 0`. */
function areEntriesDrained(
  { attempts, peers }: InFlightView,
  entries: Peer[],
  target: string,
): boolean {
  const self = { name: '', failureDomain: '', inFlight: attempts.inFlight.get(target) ?? 0 };
  const question = { target, self, entries, peers, summaries: [], reported: 0 };
  return evaluateDrain(question).kind === 'safe';
}
