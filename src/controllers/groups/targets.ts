/**
 * How many replicas of each model a fabric domain should have.
 */
import type { GroupModel } from '../../ports/index.js';

/**
 * Part of a domain's instances kept free, rounded down, with weights on their hosts. A lost member
 * is replaced from them within the time of a warm load, a tenth of a load from the weight store.
 */
const SPARE_PART = 0.1;

/** Wanted replicas of one model. */
export interface GroupTarget {
  model: GroupModel;
  groups: number;
}

/** Work that a model has, relative to that of the others. */
export type ModelWeights = ReadonlyMap<string, number>;

/**
 * Splits `instances` between `models` by `weights`: each step gives a replica to the model whose
 * part is smallest for its weight. Models without a weight take their configured share.
 *
 * @example planTargets(10, profile.models, new Map())
 */
export function planTargets(
  instances: number,
  models: readonly GroupModel[],
  weights: ModelWeights,
): GroupTarget[] {
  const targets = models.map((model) => ({ model, groups: 0 }));
  let left = instances - Math.floor(instances * SPARE_PART);
  for (;;) {
    const next = targets
      .filter(({ model }) => model.size <= left && weigh(model, weights) > 0)
      .sort((a, b) => fill(a, weights) - fill(b, weights) || b.model.size - a.model.size)[0];
    if (next === undefined) return targets;
    next.groups += 1;
    left -= next.model.size;
  }
}

function weigh(model: GroupModel, weights: ModelWeights): number {
  return weights.get(model.name) ?? model.share;
}

function fill({ model, groups }: GroupTarget, weights: ModelWeights): number {
  return (groups * model.size) / weigh(model, weights);
}
