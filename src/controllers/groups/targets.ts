/**
 * How many replicas of each model a fabric domain should have.
 */
import type { GroupModel } from '../../ports/index.js';

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
 * Nothing is kept free: an instance that serves in a group of the small model, with the weights of
 * the large one on its host, replaces a lost member as soon as an idle one would, and serves until
 * then.
 *
 * @example planTargets(10, profile.models, new Map())
 */
export function planTargets(
  instances: number,
  models: readonly GroupModel[],
  weights: ModelWeights,
): GroupTarget[] {
  const targets = models.map((model) => ({ model, groups: 0 }));
  let left = instances;
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
