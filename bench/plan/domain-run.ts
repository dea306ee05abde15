/**
 * One fabric domain under the planner in manual time: probes, plans, orders, and what it cost.
 */
import type { InstanceHealth } from '../../src/board/index.js';
import type { Milliseconds } from '../../src/core/clock/index.js';
import { recordFailure, recordReport } from '../../src/controllers/health/index.js';
import {
  checkPlanTransition,
  DEFAULT_ESTIMATES,
  listDrainedReplicas,
  listOrders,
  planDomain,
  splitDemand,
  updateLossHistory,
  type DomainInput,
  type DomainMember,
  type Estimates,
  type LossHistory,
  type PlanReason,
} from '../../src/controllers/replicas/index.js';
import type { DomainPlan, Model, Policy } from '../../src/objects/index.js';
import type { EngineWorld } from './engine-world.js';

/** How a domain is planned. */
export interface RunOptions {
  world: EngineWorld;
  domain: string;
  models: ReadonlyMap<string, Model>;
  objective: Policy['objective'];
  estimates?: Partial<Estimates>;
}

/** The run of one domain. */
export interface DomainRun {
  /** Probes all engines, plans, and sends the orders of the plan. */
  tick(now: Milliseconds): readonly PlanReason[];
  plan(): DomainPlan;
  health(): ReadonlyMap<string, InstanceHealth>;
  /** Nothing was changed by the last tick and no replica is being formed or taken apart. */
  isSettled(): boolean;
  /** The planner's processor time, one entry for each tick. */
  planMs: readonly number[];
}

/** A domain without a plan. */
export function createDomainRun(options: RunOptions): DomainRun {
  const { world, domain, models, objective } = options;
  const estimates = { ...DEFAULT_ESTIMATES, ...options.estimates };
  const health = new Map<string, InstanceHealth>();
  const planMs: number[] = [];
  let plan: DomainPlan = { fence: 0, replicas: [], spares: [] };
  let history: LossHistory = new Map();
  let isChanged = true;

  function probe(now: Milliseconds): void {
    world.settle(now);
    for (const name of world.engines.keys()) {
      const report = world.report(name, now);
      const previous = health.get(name);
      const next = report ? recordReport(previous, report, now) : recordFailure(previous, now);
      health.set(name, next);
    }
  }

  function readMembers(): Map<string, DomainMember> {
    const members = new Map<string, DomainMember>();
    for (const { name, instance } of world.engines.values()) {
      const leaving = instance.state === 'leaving';
      members.set(name, { name, instance, leaving, health: health.get(name) });
    }
    return members;
  }

  function createInput(now: Milliseconds): DomainInput {
    const members = readMembers();
    const timing = { estimates, watchingSince: Number.NEGATIVE_INFINITY };
    history = updateLossHistory({ ...timing, members, history }, now);
    const attempts = { inFlight: new Map<string, number>(), sent: [], demands: [] };
    const view = { attempts, peers: new Map(), health, forgetMs: 0 };
    const drained = listDrainedReplicas(plan, view, now);
    const supply = {
      name: domain,
      groups: [{ labels: {}, count: world.engines.size }],
      replicas: plan.replicas,
    };
    const wanted = splitDemand(models, [supply])[0]?.wanted ?? new Map<string, number>();
    return { ...timing, domain, plan, members, models, wanted, drained, objective, history };
  }

  function sendOrders(now: Milliseconds): void {
    const input = { ...createInput(now), fencingChecked: [] };
    for (const task of listOrders(input, now)) world.order(task.instance, task.order, now);
  }

  return {
    planMs,
    plan: () => plan,
    health: () => health,
    isSettled: () =>
      !isChanged && plan.replicas.every(({ phase }) => phase === 'whole' || phase === 'released'),
    tick: (now) => {
      probe(now);
      const input = createInput(now);
      const startedAt = performance.now();
      const decision = planDomain(input, now);
      planMs.push(performance.now() - startedAt);
      const faults = checkPlanTransition(plan, decision.plan);
      if (faults.length > 0) throw new Error(`plan breaks rules: ${JSON.stringify(faults)}`);
      isChanged = decision.changed;
      plan = decision.plan;
      sendOrders(now);
      return decision.reasons;
    },
  };
}
