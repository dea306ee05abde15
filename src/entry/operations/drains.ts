/**
 * What drains at the moment, and what keeps each target from being stopped.
 */
import type { DrainStatus } from '../../adapters/operators/index.js';
import type { Health, Plans } from '../../board/index.js';
import { judgeDrain, listDraining, listSendingEntries } from '../../controllers/drains/index.js';
import type { Replica } from '../../objects/index.js';
import type { MembershipPart } from '../membership/index.js';
import type { EntryContext } from '../types.js';

/** All targets that this entry knows to be draining. */
export function listDrains(
  { board, identity }: EntryContext,
  membership: Pick<MembershipPart, 'summaries'>,
): DrainStatus[] {
  const fleet = board.fleet.read();
  const plans = board.plans.read();
  const peers = board.peers.read();
  const health = board.health.read();
  const entries = listSendingEntries(fleet, peers);
  return listDraining(fleet, plans, board.attempts.read()).map(({ target, count }) => {
    const instance = fleet.instances.get(target);
    const reported =
      instance === undefined
        ? readReplicaCount(plans, health, target)
        : readInstanceCount(plans, health, target, instance.role);
    const judgement = judgeDrain({
      target,
      self: { name: identity.name, failureDomain: identity.failureDomain, inFlight: count },
      entries,
      peers,
      summaries: membership.summaries(),
      reported,
    });
    return { target, kind: instance === undefined ? 'replica' : 'instance', judgement };
  });
}

/** Only the leader of a replica takes requests. */
function readReplicaCount(plans: Plans, health: Health, id: string): number | undefined {
  const replica = listReplicas(plans).find((candidate) => candidate.id === id);
  const report = health.get(replica?.members[0]?.instance ?? '')?.report;
  return report?.replica?.id === id ? report.inFlight : undefined;
}

/**
 * Plain services report no count, so the entries' word is all there is. An engine that is still a
 * member of a replica must not be stopped, whatever is in flight.
 */
function readInstanceCount(
  plans: Plans,
  health: Health,
  name: string,
  role: string,
): number | undefined {
  if (role !== 'engine') return 0;
  const isMember = listReplicas(plans).some(
    ({ phase, members }) =>
      phase !== 'released' && members.some(({ instance }) => instance === name),
  );
  return isMember ? undefined : health.get(name)?.report?.inFlight;
}

function listReplicas(plans: Plans): Replica[] {
  return [...plans.values()].flatMap(({ value }) => value.replicas);
}
