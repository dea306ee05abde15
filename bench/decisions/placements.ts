/**
 * Ways to place requests on replicas: the one in production, and those that it is compared with.
 */
import {
  chooseTarget,
  drawTarget,
  sampleTargets,
  type Target,
  type TargetList,
  type TargetState,
} from '../../src/controllers/forwarding/index.js';
import type { Random } from '../../src/core/random/index.js';
import type { Placement, ReplicaView } from './model.js';

type Selection = (states: readonly TargetState[], random: Random) => TargetState | undefined;

interface ModelTargets extends TargetList {
  states: ReadonlyMap<Target, TargetState>;
}

function describeReplicas(replicas: readonly ReplicaView[]): ModelTargets {
  const states = new Map<Target, TargetState>();
  for (const { id, isNear, inFlight, slots, speed } of replicas) {
    const name = String(id);
    const failureDomain = isNear ? 'near' : 'far';
    const server = { id: name, service: 'models', address: '', failureDomain, slots };
    const target = { server: { ...server, leaving: false }, members: [name] };
    const state = { target, inFlight, slots, isRemote: !isNear, failureRate: 0 };
    states.set(target, { ...state, ...(speed && { speed }) });
  }
  const list = (isRemote: boolean): Target[] =>
    [...states.values()].filter((state) => state.isRemote === isRemote).map(({ target }) => target);
  return { states, near: list(false), far: list(true) };
}

function toPlacement(
  select: (targets: ModelTargets, random: Random) => TargetState | undefined,
): Placement {
  return (replicas, random) => {
    const chosen = select(describeReplicas(replicas), random);
    return chosen && Number(chosen.target.server.id);
  };
}

/** Samples targets and selects one of them. */
function sampling(select: Selection): Placement {
  return toPlacement((targets, random) => {
    const sampled = sampleTargets(targets, (target) => targets.states.get(target), random);
    return select(sampled, random);
  });
}

/** The placement of large fleets. */
export const drawingPlacement = sampling(drawTarget);

/** All placements by name. */
export const PLACEMENTS: Readonly<Record<string, Placement>> = {
  'draw among a sample': drawingPlacement,
  'best of a sample': sampling(chooseTarget),
  'best of all': toPlacement((targets, random) =>
    chooseTarget([...targets.states.values()], random),
  ),
  'any at random': (replicas, random) => replicas[random.below(replicas.length)]?.id,
};
