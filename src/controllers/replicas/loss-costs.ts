/**
 * Cost model for handling lost instances.
 *
 * A cost is a rate multiplied by a duration. The rate of a replica that does not serve is the weight
 * of group downtime scaled by the model's importance, plus the weight of stranded accelerators for
 * each idle healthy member. The weights come from the policy's objective.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Model, Policy } from '../../objects/index.js';
import type { Estimates, LossClass } from './types.js';

/** Importance at which the weight of group downtime is applied unscaled. */
const REFERENCE_IMPORTANCE = 50;

/** Cost per millisecond of a replica of `model` that does not serve and has `idle` healthy members. */
export function calculateDowntimeRate(
  objective: Policy['objective'],
  model: Pick<Model, 'importance'>,
  idle: number,
): number {
  const downtime = objective.groupDowntime * (model.importance / REFERENCE_IMPORTANCE);
  return downtime + objective.strandedAccelerators * idle;
}

/**
 * The posterior shares of the loss classes after an absence of `absentMs`: the longer it lasts, the
 * less likely the short classes become.
 */
export function getPosteriorLossClasses(estimates: Estimates, absentMs: Milliseconds): LossClass[] {
  const unnormalizedShares = estimates.lossClasses.map(
    ({ share, meanMs }) => share * Math.exp(-absentMs / meanMs),
  );
  const total = unnormalizedShares.reduce((sum, share) => sum + share, 0);
  return estimates.lossClasses.map((loss, index) => {
    const share = total === 0 ? loss.share : (unnormalizedShares[index] ?? 0) / total;
    return { ...loss, share };
  });
}

/** Expected time until an instance returns that has been absent for `absentMs`. */
export function estimateReturnMs(estimates: Estimates, absentMs: Milliseconds): Milliseconds {
  const classes = getPosteriorLossClasses(estimates, absentMs);
  return classes.reduce((sum, { share, meanMs }) => sum + share * meanMs, 0);
}

/** Costs of a loss for the affected replica. */
export interface LossCosts {
  /** Per millisecond that the replica does not serve. */
  downtimeRate: number;
  /** One-time cost of replacing the member. */
  replacementCost: number;
  /** Per millisecond from the replacement until the lost member returns. */
  donorDowntimeRate: number;
  /** Decayed number of earlier losses of the member. */
  priorLosses: number;
}

/** How long to wait before replacing the member, with the expected cost. */
export interface WaitChoice {
  waitMs: Milliseconds;
  cost: number;
}

const SECOND_MS = 1_000;

/** Candidate wait times; the last one means never replacing the member. */
const WAIT_CHOICES_MS: readonly Milliseconds[] = [0, 5, 15, 30, 60, 120, 300, 900, 3_600]
  .map((seconds) => seconds * SECOND_MS)
  .concat(Number.POSITIVE_INFINITY);

/**
 * Chooses the wait time with the lowest expected cost before replacing a member that has been absent
 * for `absentMs`.
 *
 * Most losses are short and a few very long, so the wait is weighed per loss class instead of by the
 * mean. If the same process returns, the replica serves immediately; otherwise it must be formed
 * anew. Each earlier loss reduces the value of a return, since the member is likely to fail again.
 *
 * @example chooseWait(estimates, absentMs, costs).waitMs === 0 // replace now
 */
export function chooseWait(
  estimates: Estimates,
  absentMs: Milliseconds,
  costs: LossCosts,
): WaitChoice {
  const classes = getPosteriorLossClasses(estimates, absentMs);
  const choices = WAIT_CHOICES_MS.map((waitMs) => ({
    waitMs,
    cost: estimateWaitCost(estimates, classes, costs, waitMs),
  }));
  return choices.reduce((best, choice) => (choice.cost < best.cost ? choice : best));
}

function estimateWaitCost(
  estimates: Estimates,
  classes: readonly LossClass[],
  { downtimeRate, replacementCost, donorDowntimeRate, priorLosses }: LossCosts,
  waitMs: Milliseconds,
): number {
  let cost = 0;
  for (const { share, meanMs, keepsState } of classes) {
    const returnProbability = 1 - Math.exp(-waitMs / meanMs);
    const expectedWaitMs = meanMs * returnProbability;
    const formMs = keepsState ? 0 : estimates.formMs;
    const futureDowntimeMs = priorLosses * (meanMs + formMs);
    const returnCost = downtimeRate * (formMs + futureDowntimeMs);
    const timeoutCost = replacementCost + donorDowntimeRate * (meanMs + estimates.formMs);
    cost +=
      share *
      (downtimeRate * expectedWaitMs +
        returnProbability * returnCost +
        (1 - returnProbability) * timeoutCost);
  }
  return cost;
}

/** Time to release a replica and form it again from free instances. */
export function estimateReplacementMs(estimates: Estimates): Milliseconds {
  return estimates.releaseMs + estimates.formMs;
}

/**
 * The number of instances to keep as spares instead of forming a replica of `forgoneModel`.
 *
 * A spare shortens the downtime after a loss from the return time to the time to form a replica. The
 * savings at the expected loss rate are compared with the cost of not serving the forgone replica.
 */
export function chooseSpareCount(
  objective: Policy['objective'],
  estimates: Estimates,
  protectedReplicas: readonly Pick<Model, 'importance' | 'replicaSize'>[],
  forgoneModel: Pick<Model, 'importance' | 'replicaSize'>,
): number {
  const savedMs = Math.max(0, estimateReturnMs(estimates, 0) - estimates.releaseMs);
  let savings = 0;
  for (const model of protectedReplicas) {
    const lossRate = model.replicaSize / estimates.meanTimeBetweenLossesMs;
    savings += lossRate * savedMs * calculateDowntimeRate(objective, model, model.replicaSize - 1);
  }
  const cost = calculateDowntimeRate(objective, forgoneModel, forgoneModel.replicaSize);
  return savings > cost ? 1 : 0;
}
