/**
 * What a loss costs under each way to treat it, by the objective's two measures.
 *
 * A cost is a rate times a time. The rate of a replica that does not serve is the weight of group
 * downtime times the model's importance, plus the weight of stranded accelerators for each healthy
 * member that sits idle in it. So the installation's weights decide between ways that trade one
 * measure for the other.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Model, Policy } from '../../objects/index.js';
import type { Estimates } from './types.js';

/** Importance at which group downtime counts with its bare weight. */
const USUAL_IMPORTANCE = 50;

/** Cost for each millisecond that a replica of `model` does not serve with `idle` healthy members. */
export function rateDowntime(
  objective: Policy['objective'],
  model: Pick<Model, 'importance'>,
  idle: number,
): number {
  const downtime = objective.groupDowntime * (model.importance / USUAL_IMPORTANCE);
  return downtime + objective.strandedAccelerators * idle;
}

/**
 * The expected time until a replica serves again when it waits for a member that has been away for
 * `forMs`. A pause ends with the same process, which is back in its place at once; after any other
 * loss the replica has to be formed anew. The longer it lasts, the less likely it is a pause.
 *
 * `losses` is the member's decayed count of losses: each adds one more expected wait of the same
 * kind, since a member that comes and goes will go again.
 */
export function estimateWait(
  estimates: Estimates,
  forMs: Milliseconds,
  losses: number,
): Milliseconds {
  const { pauseShare, pauseMs, returnMs, formMs } = estimates;
  const stillPause = pauseShare * Math.exp(-forMs / pauseMs);
  const stillOther = (1 - pauseShare) * Math.exp(-forMs / returnMs);
  const total = stillPause + stillOther;
  const share = total === 0 ? 0 : stillPause / total;
  const once = share * pauseMs + (1 - share) * (returnMs + formMs);
  return once * (1 + losses);
}

/** The time to take a replica apart and form it with free instances. */
export function estimateReplace(estimates: Estimates): Milliseconds {
  return estimates.releaseMs + estimates.formMs;
}

/**
 * How many instances to keep free in a domain of `instances` rather than form one more replica.
 *
 * A spare turns the wait for a lost member into the time to form a replica. It is worth that
 * difference times the losses to be expected while it stands by, and costs all that the replica
 * which is not formed would have served.
 */
export function chooseSpares(
  objective: Policy['objective'],
  estimates: Estimates,
  protectedReplicas: readonly Pick<Model, 'importance' | 'replicaSize'>[],
  forgone: Pick<Model, 'importance' | 'replicaSize'>,
): number {
  const savedMs = Math.max(0, estimates.returnMs - estimates.releaseMs);
  let saved = 0;
  for (const model of protectedReplicas) {
    const lossesPerMs = model.replicaSize / estimates.lossEveryMs;
    saved += lossesPerMs * savedMs * rateDowntime(objective, model, model.replicaSize - 1);
  }
  const cost = rateDowntime(objective, forgone, forgone.replicaSize);
  return saved > cost ? 1 : 0;
}
