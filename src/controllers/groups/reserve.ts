/**
 * Determines how many instances of a domain should hold the weights of each model.
 */
import type { BackendServer, GroupModel } from '../../ports/index.js';
import type { GroupTarget } from './targets.js';
import { hasWeights } from './view.js';

/** A model that too few instances hold. */
export interface LackingModel {
  model: GroupModel;
  /** Instances that should load it. */
  missing: number;
}

/** Spare instances for each targeted group, as a fraction of its size: a loss may take several members. */
const SPARE_FRACTION = 0.25;

/** The models that fewer instances hold than their groups and spares need. */
export function findLackingModels(
  servers: readonly BackendServer[],
  targets: readonly GroupTarget[],
): LackingModel[] {
  const present = servers.filter(({ leaving }) => !leaving);
  return targets.flatMap(({ model, groups }) => {
    if (groups === 0) return [];
    const wanted = Math.ceil(groups * model.size * (1 + SPARE_FRACTION));
    const holders = present.filter((server) => hasWeights(server, model)).length;
    const missing = Math.min(wanted, present.length) - holders;
    return missing > 0 ? [{ model, missing }] : [];
  });
}

/** Whether the host could stage another model without the instance losing the one that it has loaded. */
export function holdsOneModelTwice({ engine }: BackendServer): boolean {
  const loaded = engine?.model;
  return loaded !== undefined && (engine?.staged ?? []).every((staged) => staged === loaded);
}
