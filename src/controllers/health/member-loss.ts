/**
 * Whether a replica that is answering a request has lost a member.
 *
 * The serving gate keeps new requests away from a broken replica. A request that is already there
 * needs this: a leader that is frozen, or that does not notice that a member has gone, keeps its
 * stream open. It shows as an answer that stands still for as long as the pause lasts and then goes
 * on, computed by a replica that the others have given up. The caller of such a request is served
 * elsewhere as soon as the loss is certain.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Replica } from '../../objects/index.js';
import type { Candidate } from '../routing/types.js';
import type { EligibilityView, Obstacle } from './gate.js';

/** The replica as it was when the request was sent to it. */
export type ServingReplica = Pick<Candidate, 'replica' | 'fence' | 'members'>;

/**
 * The first member that the replica has lost for certain; undefined while it is whole as far as is
 * known. Stricter than the gate, since moving a stream has a cost: one failed probe is no loss, and a
 * replica that drains goes on with what it has.
 *
 * @example if (findLoss(view, candidate, clock.now(), 2_000)) moveElsewhere();
 */
export function findLoss(
  view: Pick<EligibilityView, 'plans' | 'health'>,
  serving: ServingReplica,
  now: Milliseconds,
  freshMs: Milliseconds,
): Obstacle | undefined {
  const planned = findPlanned(view, serving.replica);
  if (planned === undefined || planned.phase === 'released') return { kind: 'phase' };
  for (const member of serving.members) {
    const obstacle = findMemberLoss(view, serving, planned, member, now, freshMs);
    if (obstacle !== undefined) return obstacle;
  }
  return undefined;
}

function findMemberLoss(
  view: Pick<EligibilityView, 'health'>,
  serving: ServingReplica,
  planned: Replica,
  member: string,
  now: Milliseconds,
  freshMs: Milliseconds,
): Obstacle | undefined {
  const health = view.health.get(member);
  const report = health?.report;
  if (health === undefined || report === undefined) return { kind: 'unheard', member };
  if (now - health.heardAt >= freshMs) return { kind: 'unheard', member };
  const place = planned.members.find(({ instance }) => instance === member);
  if (report.incarnation !== place?.incarnation) return { kind: 'otherIncarnation', member };
  const held = report.replica;
  if (held?.id !== serving.replica || held.fence !== serving.fence) {
    return { kind: 'otherReplica', member };
  }
  if (report.state !== 'ready' && report.state !== 'draining') return { kind: 'notReady', member };
  return undefined;
}

function findPlanned({ plans }: Pick<EligibilityView, 'plans'>, id: string): Replica | undefined {
  for (const { value } of plans.values()) {
    const found = value.replicas.find((replica) => replica.id === id);
    if (found !== undefined) return found;
  }
  return undefined;
}
