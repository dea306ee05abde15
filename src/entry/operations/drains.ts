/**
 * Lists the targets that are draining and why each can't be stopped yet.
 */
import type { DrainStatus } from '../../adapters/operators/index.js';
import type { Health, Plans } from '../../board/index.js';
import { evaluateDrain, listDraining, listSendingEntries } from '../../controllers/drains/index.js';
import type { Replica } from '../../objects/index.js';
import type { MembershipPart } from '../membership/index.js';
import type { EntryContext } from '../types.js';

/** Lists all targets that this entry knows to be draining. */
export function listDrains(
  { board, identity }: EntryContext,
  membership: Pick<MembershipPart, 'summaries'>,
): DrainStatus[] {
  const fleet = board.fleet.read();
  const plans = board.plans.read();
  const peers = board.peers.read();
  const health = board.health.read();
  const sendingEntries = listSendingEntries(fleet, peers);
  return listDraining(fleet, plans, board.attempts.read()).map(({ target, count: inFlight }) => {
    const instance = fleet.instances.get(target);
    const reportedInFlight =
      instance === undefined
        ? readReplicaCount(plans, health, target)
        : readInstanceCount(plans, health, target, instance.role);
    const judgement = evaluateDrain({
      target,
      self: { name: identity.name, failureDomain: identity.failureDomain, inFlight },
      entries: sendingEntries,
      peers,
      summaries: membership.summaries(),
      reported: reportedInFlight,
    });
    return { target, kind: instance === undefined ? 'replica' : 'instance', judgement };
  });
}

/** Reads the count from the leader of a replica, the only member that receives requests. */
function readReplicaCount(plans: Plans, health: Health, id: string): number | undefined {
  const replica = listReplicas(plans).find((candidate) => candidate.id === id);
  const report = health.get(replica?.members[0]?.instance ?? '')?.report;
  return report?.replica?.id === id ? report.inFlight : undefined;
}

/**
 * Returns 0 for plain services, which report no count, so that only the counts of entries apply. An
 * engine that is still a member of a replica has no count, since it must not be stopped.
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
