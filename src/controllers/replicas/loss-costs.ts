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
import type { Estimates, LossClass } from './types.js';

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
 * The classes of loss with their shares after an absence of `forMs`: the longer it lasts, the less
 * likely it is one of the short ones.
 */
export function updateClasses(estimates: Estimates, forMs: Milliseconds): LossClass[] {
  const still = estimates.lossClasses.map(({ share, meanMs }) => share * Math.exp(-forMs / meanMs));
  const total = still.reduce((sum, share) => sum + share, 0);
  return estimates.lossClasses.map((loss, at) => {
    const share = total === 0 ? loss.share : (still[at] ?? 0) / total;
    return { ...loss, share };
  });
}

/** The mean time until an instance that has been away for `forMs` is back. */
export function estimateReturn(estimates: Estimates, forMs: Milliseconds): Milliseconds {
  const classes = updateClasses(estimates, forMs);
  return classes.reduce((sum, { share, meanMs }) => sum + share * meanMs, 0);
}

/** What a replica pays for each way to get over a loss. */
export interface LossCosts {
  /** For each millisecond that the replica does not serve. */
  rate: number;
  /** Of replacing the member, at whatever time. */
  replaceCost: number;
  /** For each millisecond until the lost member is back, once it is replaced. */
  missedRate: number;
  /** Decayed count of the member's earlier losses. */
  earlierLosses: number;
}

/** How much longer to wait before the member is replaced, and what that costs. */
export interface WaitChoice {
  waitMs: Milliseconds;
  cost: number;
}

const SECOND_MS = 1_000;

/** The spans that are compared; the last stands for waiting without end. */
const WAIT_CHOICES_MS: readonly Milliseconds[] = [0, 5, 15, 30, 60, 120, 300, 900, 3_600]
  .map((seconds) => seconds * SECOND_MS)
  .concat(Number.POSITIVE_INFINITY);

/**
 * The cheapest time to wait for a member that has been away for `forMs` before it is replaced.
 *
 * Most losses are short and a few are very long, so the mean says little: waiting a while shows
 * which kind it is. A replica whose member comes back as the same process serves at once; after any
 * other return it has to be formed anew. A member that has come and gone before will go again: each
 * earlier loss makes its return worth that much less.
 *
 * @example chooseWait(estimates, forMs, costs).waitMs === 0 // replace now
 */
export function chooseWait(
  estimates: Estimates,
  forMs: Milliseconds,
  costs: LossCosts,
): WaitChoice {
  const classes = updateClasses(estimates, forMs);
  const choices = WAIT_CHOICES_MS.map((waitMs) => ({
    waitMs,
    cost: estimateCost(estimates, classes, costs, waitMs),
  }));
  return choices.reduce((best, choice) => (choice.cost < best.cost ? choice : best));
}

function estimateCost(
  estimates: Estimates,
  classes: readonly LossClass[],
  { rate, replaceCost, missedRate, earlierLosses }: LossCosts,
  waitMs: Milliseconds,
): number {
  let cost = 0;
  for (const { share, meanMs, keepsState } of classes) {
    const backInTime = 1 - Math.exp(-waitMs / meanMs);
    const waitedMs = meanMs * backInTime;
    const formMs = keepsState ? 0 : estimates.formMs;
    const laterMs = earlierLosses * (meanMs + formMs);
    const backCost = rate * (formMs + laterMs);
    const lateCost = replaceCost + missedRate * (meanMs + estimates.formMs);
    cost += share * (rate * waitedMs + backInTime * backCost + (1 - backInTime) * lateCost);
  }
  return cost;
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
  const savedMs = Math.max(0, estimateReturn(estimates, 0) - estimates.releaseMs);
  let saved = 0;
  for (const model of protectedReplicas) {
    const lossesPerMs = model.replicaSize / estimates.lossEveryMs;
    saved += lossesPerMs * savedMs * rateDowntime(objective, model, model.replicaSize - 1);
  }
  const cost = rateDowntime(objective, forgone, forgone.replicaSize);
  return saved > cost ? 1 : 0;
}
