/**
 * Detects that a replica has lost a member while it is answering a request.
 *
 * Eligibility only keeps new requests away from a broken replica. A leader that is frozen or has
 * not noticed the loss keeps the stream of a running request open, which then stalls or continues
 * on a replica that has been replaced. Such a request is moved to another replica once the loss is
 * certain.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Replica } from '../../objects/index.js';
import type { Candidate } from '../routing/types.js';
import type { EligibilityView, Ineligibility } from './eligibility.js';

/** The replica as it was when the request was sent to it. */
export type ServingReplica = Pick<Candidate, 'replica' | 'fence' | 'members'>;

/**
 * Returns the first certain loss of a member; undefined if none is known. Requires more evidence
 * than eligibility does, since moving a stream is expensive: a single failed probe is not a loss,
 * and a draining replica continues its running requests.
 *
 * @example if (findReplicaLoss(view, candidate, clock.now(), 2_000)) moveElsewhere();
 */
export function findReplicaLoss(
  view: Pick<EligibilityView, 'plans' | 'health'>,
  serving: ServingReplica,
  now: Milliseconds,
  freshMs: Milliseconds,
): Ineligibility | undefined {
  const plannedReplica = findPlannedReplica(view, serving.replica);
  if (plannedReplica === undefined || plannedReplica.phase === 'released') return { kind: 'phase' };
  for (const member of serving.members) {
    const loss = findMemberLoss(view, serving, plannedReplica, member, now, freshMs);
    if (loss !== undefined) return loss;
  }
  return undefined;
}

function findMemberLoss(
  view: Pick<EligibilityView, 'health'>,
  serving: ServingReplica,
  plannedReplica: Replica,
  member: string,
  now: Milliseconds,
  freshMs: Milliseconds,
): Ineligibility | undefined {
  const health = view.health.get(member);
  const report = health?.report;
  if (health === undefined || report === undefined) return { kind: 'unheard', member };
  if (now - health.heardAt >= freshMs) return { kind: 'unheard', member };
  const plannedMember = plannedReplica.members.find(({ instance }) => instance === member);
  if (report.incarnation !== plannedMember?.incarnation)
    return { kind: 'otherIncarnation', member };
  const reported = report.replica;
  if (reported?.id !== serving.replica || reported.fence !== serving.fence) {
    return { kind: 'otherReplica', member };
  }
  if (report.state !== 'ready' && report.state !== 'draining') return { kind: 'notReady', member };
  return undefined;
}

function findPlannedReplica(
  { plans }: Pick<EligibilityView, 'plans'>,
  id: string,
): Replica | undefined {
  for (const { value } of plans.values()) {
    const found = value.replicas.find((replica) => replica.id === id);
    if (found !== undefined) return found;
  }
  return undefined;
}
