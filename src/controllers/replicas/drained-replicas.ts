/**
 * Which draining replicas have nothing in flight any more.
 */
import type { Attempts, Health, Peer, Peers } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { DomainPlan, Replica } from '../../objects/index.js';
import { judgeDrain } from '../drains/judge.js';

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
 * to name the replica with a count of 0.
 *
 * An entry that is listed but unheard, as one that is frozen, is not waited for. The engine has to
 * be draining under the plan's number: it refuses whatever arrives from then on, so that nothing of
 * it has run and the sender goes elsewhere, and what it took before counts in its own report. An
 * instance that cannot refuse has no such word of its own; there, silent entries hold the stop up.
 */
export function listDrained(plan: DomainPlan, view: InFlightView, now: Milliseconds): Set<string> {
  const entries = [...view.peers.values()].filter(({ heardAt }) => now - heardAt < view.forgetMs);
  const drained = plan.replicas.filter(
    (replica) =>
      replica.phase === 'draining' &&
      isEngineEmpty(view.health, replica) &&
      isDrained(view, entries, replica.id),
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

/** The engine's own word is asked for apart: it has to be of the draining plan. */
function isDrained({ attempts, peers }: InFlightView, entries: Peer[], target: string): boolean {
  const self = { name: '', failureDomain: '', inFlight: attempts.inFlight.get(target) ?? 0 };
  const question = { target, self, entries, peers, summaries: [], reported: 0 };
  return judgeDrain(question).kind === 'safe';
}
