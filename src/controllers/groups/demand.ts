/**
 * Derives how the instances of a service are shared between its models from the observed demand.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { GroupModel } from '../../ports/index.js';

/** Load of one model of a service, at all gateways together. */
export interface ModelLoad {
  model: GroupModel;
  /** Requests in flight at the replicas of the model. */
  inFlight: number;
  /** Existing replicas. */
  groups: number;
}

/** Observed state of a service. */
export interface ServiceLoad {
  /** Concurrent requests of one replica. */
  slots: number;
  /** Instances that can be members of a replica. */
  instances: number;
  models: readonly ModelLoad[];
}

/** Time constant of the smoothed load; several times the duration of a request. */
const SMOOTHING_MS: Milliseconds = 3_000;
/** Observation time before the load counts. */
const WARM_UP_MS: Milliseconds = 3_000;
/** Replicas that each model gets beyond its load: one may be lost while another is being replaced. */
const HEADROOM_GROUPS = 2;
/**
 * Part of its configured share that a model always keeps. A model whose replicas are lost has no
 * requests in flight; without this it would get ever fewer instances.
 */
const MIN_SHARE_FRACTION = 0.5;
/**
 * Part of its replicas below which the load of a model is a lower bound of its demand: requests that find
 * no replica are not in flight.
 */
const COMPLETE_FRACTION = 0.75;
/**
 * Use of a model's slots from which it counts as short. Below it every model has room for a surge and for
 * losses, and replicas would be disbanded and formed again for nothing. Changes have to come before a
 * surge: forming replicas takes seconds, and no plan can be stored during an outage.
 */
const SHORT_USE = 0.3;
/**
 * Change of a share that is acted on, in replicas of the largest model. Prevents replicas from being
 * disbanded and formed again as the load fluctuates.
 */
const MIN_CHANGE_GROUPS = 1;
/** Time between two changes; by then the replicas of the first one serve. */
const MIN_CHANGE_INTERVAL_MS: Milliseconds = 5_000;

/** The shares in use for one service. */
interface ServiceState {
  /** Earliest time of the next change. */
  changeableAt: Milliseconds;
  updatedAt: Milliseconds;
  /** Smoothed requests in flight, by model. */
  smoothed: Map<string, number>;
  models: readonly GroupModel[];
}

/**
 * Shares of the models of each service. Mutable; has a single owner.
 *
 * Every gateway that plans replicas keeps one. They see the same load up to its age, and the minimum
 * change keeps small differences from turning into different plans.
 */
export class DemandShares {
  private readonly services = new Map<string, ServiceState>();

  /** Records the load of `service` and returns its models with the shares to plan by. */
  update(service: string, load: ServiceLoad, now: Milliseconds): readonly GroupModel[] {
    const known = this.services.get(service);
    if (known === undefined || !hasSameModels(known.models, load.models)) {
      // A previous owner of the domains may have changed the split, which must not be undone.
      const models = withShares(load.models, instancesInUse(load.models));
      const smoothed = new Map(
        load.models.map(({ model, inFlight }) => [model.name, Math.max(0, inFlight)]),
      );
      const changeableAt = now + WARM_UP_MS;
      this.services.set(service, { changeableAt, updatedAt: now, smoothed, models });
      return models;
    }
    smooth(known, load, now);
    if (now < known.changeableAt) return known.models;
    const wanted = withShares(load.models, instancesNeeded(load, known.smoothed));
    const isChangeNeeded = isAnyShort(known, load);
    if (isChangeNeeded && isSignificant(known.models, wanted, load.instances)) {
      known.models = wanted;
      known.changeableAt = now + MIN_CHANGE_INTERVAL_MS;
    }
    return known.models;
  }

  /** Discards all observations. */
  reset(): void {
    this.services.clear();
  }
}

function hasSameModels(models: readonly GroupModel[], loads: readonly ModelLoad[]): boolean {
  return (
    models.length === loads.length &&
    models.every(({ name, size }, index) => {
      const other = loads[index]?.model;
      return other?.name === name && other.size === size;
    })
  );
}

function smooth(state: ServiceState, { models, instances }: ServiceLoad, now: Milliseconds): void {
  const weight = 1 - Math.exp(-(now - state.updatedAt) / SMOOTHING_MS);
  state.updatedAt = now;
  for (const { model, inFlight, groups } of models) {
    const before = state.smoothed.get(model.name) ?? 0;
    const share = state.models.find(({ name }) => name === model.name)?.share ?? 0;
    const isComplete = groups >= COMPLETE_FRACTION * ((share * instances) / model.size);
    const observed = isComplete ? Math.max(0, inFlight) : Math.max(before, inFlight);
    state.smoothed.set(model.name, before + weight * (observed - before));
  }
}

/** Whether a model uses so many of the slots that its share gives it that losses would hurt. */
function isAnyShort(
  { smoothed, models }: ServiceState,
  { slots, instances }: ServiceLoad,
): boolean {
  return models.some(({ name, share, size }) => {
    const capacity = (slots * instances * share) / size;
    return (smoothed.get(name) ?? 0) > SHORT_USE * capacity;
  });
}

/** Instances in the replicas of each model. */
function instancesInUse(loads: readonly ModelLoad[]): readonly number[] {
  return loads.map(({ model, groups }) => groups * model.size);
}

/**
 * Instances for each model: first those for its load and headroom, then a part of the others in
 * proportion to the load. Without any load the others follow the configured shares.
 */
function instancesNeeded(
  { slots, instances, models }: ServiceLoad,
  smoothed: ReadonlyMap<string, number>,
): readonly number[] {
  const busy = models.map(
    ({ model }) => (model.size * (smoothed.get(model.name) ?? 0)) / Math.max(1, slots),
  );
  const needed = models.map(
    ({ model }, index) => (busy[index] ?? 0) + HEADROOM_GROUPS * model.size,
  );
  const spare = Math.max(0, instances - sum(needed));
  const isIdle = sum(busy) === 0;
  const weights = isIdle ? models.map(({ model }) => Math.max(0, model.share)) : busy;
  const totalWeight = sum(weights) || 1;
  return needed.map((count, index) => count + (spare * (weights[index] ?? 0)) / totalWeight);
}

/**
 * The models with shares proportional to `weights`, of which each keeps a part of the configured one; the
 * configured ones if there is no weight.
 */
function withShares(
  loads: readonly ModelLoad[],
  weights: readonly number[],
): readonly GroupModel[] {
  const total = sum(weights);
  const configured = loads.map(({ model }) => Math.max(0, model.share));
  const configuredTotal = sum(configured);
  if (total <= 0) return loads.map(({ model }) => model);
  const kept = configured.map((share) =>
    configuredTotal > 0 ? (MIN_SHARE_FRACTION * share) / configuredTotal : 0,
  );
  const wanted = weights.map((weight, index) => Math.max(weight / total, kept[index] ?? 0));
  const wantedTotal = sum(wanted);
  return loads.map(({ model }, index) => ({
    ...model,
    share: (wanted[index] ?? 0) / wantedTotal,
  }));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function isSignificant(
  before: readonly GroupModel[],
  after: readonly GroupModel[],
  instances: number,
): boolean {
  const largest = Math.max(1, ...after.map(({ size }) => size));
  const minChange = (MIN_CHANGE_GROUPS * largest) / Math.max(1, instances);
  return after.some(
    ({ share }, index) => Math.abs(share - (before[index]?.share ?? 0)) >= minChange,
  );
}
