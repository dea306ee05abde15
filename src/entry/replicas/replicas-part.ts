/**
 * Plans the fabric domains that this entry owns and sends orders to their engines.
 */
import { createWatchLoop } from '../../adapters/platform/index.js';
import { countEntries, computeWatchDelay } from '../../controllers/membership/index.js';
import {
  beginWrite,
  applyRead,
  decideHandOver,
  decideOwnership,
  DEFAULT_ESTIMATES,
  describeSupply,
  markWriteUncertain,
  findOrderStart,
  findPlanWatchMs,
  findTakeOverTime,
  groupInstancesByDomain,
  listDrainedReplicas,
  listOrders,
  listRestoreOrders,
  locateDomain,
  mayOrder,
  planDomain,
  rankOwners,
  splitDemand,
  updateLossHistory,
  type DomainMembers,
  type DomainShare,
  type DomainState,
  type Estimates,
  type LossHistory,
  type OrderInput,
  type OwnerAction,
  type OwnerCandidate,
  type PlanReason,
} from '../../controllers/replicas/index.js';
import type { StoredObject } from '../../objects/index.js';
import type { EntryContext, Part } from '../types.js';
import { createOrderSender, type ReportHandler } from './order-sender.js';
import { createPlanStore } from './plan-store.js';

/** Plans replicas, and hands domains over when the entry stops. */
export interface ReplicasPart extends Part {
  /** Hands over all domains. Once it resolves, no order is pending and none will be sent. */
  handOver(): Promise<void>;
  /** Returns the known plans, for an entry that cannot reach the platform. */
  exportPlans(): StoredObject[];
  /** Merges plans from a peer; ignores those older than the known ones. */
  importPlans(objects: readonly StoredObject[]): void;
}

export interface ReplicasOptions {
  /** Receives the reports that orders return, such as `HealthPart.keepReport`. */
  keepReport: ReportHandler;
  estimates?: Partial<Estimates>;
}

/** A gap between ticks longer than this fraction of a lease means that the process was paused. */
const PAUSE_LEASE_RATIO = 0.5;

/**
 * Multiple of `freshMs` after which a silent engine counts as lost. By then this entry has probed
 * it itself, even if another entry is its assigned prober.
 */
const LOSS_FRESHNESS_RATIO = 1.1;

type WriteAction = Extract<OwnerAction, { kind: 'write' }>;

/**
 * Creates the replicas part of an entry.
 *
 * @example const replicas = createReplicasPart(context, { keepReport: health.keepReport });
 */
export function createReplicasPart(context: EntryContext, options: ReplicasOptions): ReplicasPart {
  const { board, clock, identity, logger, platform, random, settings } = context;
  const { leaseMs, orderTimeoutMs, planEveryMs } = settings.replicas;
  const self = { entry: identity.name, incarnation: identity.incarnation };
  const lossMs = settings.health.freshMs * LOSS_FRESHNESS_RATIO;
  const estimates = { ...DEFAULT_ESTIMATES, lossMs, ...options.estimates };
  const store = createPlanStore(context, self);
  const sender = createOrderSender(context, options.keepReport);
  const histories = new Map<string, LossHistory>();
  const pendingCalls = new Map<string, Promise<void>>();
  let timer: NodeJS.Timeout | undefined;
  let writeCount = 0;
  let watchingSince = clock.now();
  let lastTickAt = clock.now();
  let isStopping = false;
  /** Whether all plans have been listed once; until then, a missing plan may just be unread. */
  let hasListedPlans = false;
  /** Whether the last plan call failed; if so, orders that need no lease may be sent. */
  let isPlatformDown = false;

  const watch = createWatchLoop({
    platform,
    kinds: ['domain-plan'],
    waitMs: findPlanWatchMs(leaseMs, settings.platform.watchMs),
    pauseMs: () => computeWatchDelay(countEntries(board.fleet.read())),
    random,
    logger,
    onList: ({ objects }) => {
      hasListedPlans = true;
      store.merge(objects);
    },
  });

  /**
   * After a process pause, plans and reports are outdated. Owned plans are read again before the
   * next write or order, and the silence of engines counts from now.
   */
  function detectPause(): void {
    const now = clock.now();
    const gapMs = now - lastTickAt;
    lastTickAt = now;
    if (gapMs <= leaseMs * PAUSE_LEASE_RATIO) return;
    watchingSince = now;
    logger.log('ownerPaused', { gapMs: Math.round(gapMs) });
    isPlatformDown = false;
    for (const domain of board.plans.read().keys()) {
      const state = store.read(domain);
      if (state.lease !== undefined) store.write(domain, markWriteUncertain(state));
    }
  }

  function tick(): void {
    detectPause();
    if (isStopping) return;
    const domains = groupInstancesByDomain(board.fleet.read(), board.health.read());
    const candidates = listCandidates();
    const shares = computeShares(domains);
    for (const [domain, members] of domains) {
      if (pendingCalls.has(domain)) continue;
      const ranking = rankOwners(locateDomain(domain, members), candidates);
      const rank = ranking.indexOf(identity.name);
      const share = shares.find((other) => other.domain === domain);
      processDomain(domain, members, rank, share);
    }
  }

  function processDomain(
    domain: string,
    members: DomainMembers,
    rank: number,
    share: DomainShare | undefined,
  ): void {
    const state = store.read(domain);
    const now = clock.now();
    const situation = { self, rank: hasListedPlans ? rank : undefined, leaseMs };
    if (state.lease === undefined) {
      performAction(domain, decideOwnership(state, situation, undefined, now), []);
      return;
    }
    const input = createPlanInput(domain, members, state, share);
    const decision = planDomain(input, now);
    sendOrders(domain, input);
    performAction(domain, decideOwnership(state, situation, decision, now), decision.reasons);
  }

  function createPlanInput(
    domain: string,
    members: DomainMembers,
    state: DomainState,
    share: DomainShare | undefined,
  ): OrderInput {
    const now = clock.now();
    const { models, policy } = board.configuration.read();
    const plan = state.stored?.plan ?? { fence: 0, replicas: [], spares: [] };
    const timing = { estimates, watchingSince };
    const previous = histories.get(domain) ?? new Map();
    const history = updateLossHistory({ ...timing, members, history: previous }, now);
    histories.set(domain, history);
    return {
      ...timing,
      domain,
      plan,
      members,
      history,
      models: new Map([...models].map(([name, { value }]) => [name, value])),
      wanted: share?.wanted ?? new Map<string, number>(),
      drained: listDrainedReplicas(plan, readInFlight(), now),
      objective: policy.objective,
      fencingChecked: policy.fencingChecked,
    };
  }

  function readInFlight() {
    const { forgetMs } = settings.membership;
    const { attempts, peers, health } = board;
    return { attempts: attempts.read(), peers: peers.read(), health: health.read(), forgetMs };
  }

  function computeShares(domains: ReadonlyMap<string, DomainMembers>): DomainShare[] {
    const now = clock.now();
    const { models } = board.configuration.read();
    const values = new Map([...models].map(([name, { value }]) => [name, value]));
    const supplies = [...domains].map(([domain, members]) => {
      const { stored, changedAt, lease } = store.read(domain);
      const plan = stored?.plan;
      const isOwnerLive =
        lease === undefined &&
        plan?.owner !== undefined &&
        now < findTakeOverTime({ plan, changedAt });
      const timing = { estimates, watchingSince };
      return describeSupply(domain, members, plan, isOwnerLive, timing, now);
    });
    return splitDemand(values, supplies);
  }

  /** Entries that may own domains: this one and all live peers that are not stopping. */
  function listCandidates(): OwnerCandidate[] {
    const now = clock.now();
    const { instances } = board.fleet.read();
    const peers = [...board.peers.read().values()]
      .filter((peer) => now - peer.heardAt < settings.membership.forgetMs && !peer.stopping)
      .map(({ name, failureDomain }) => {
        return { name, failureDomain, region: instances.get(name)?.region };
      });
    const { name, region, failureDomain } = identity;
    return [{ name, region, failureDomain }, ...peers];
  }

  function sendOrders(domain: string, input: OrderInput): void {
    const mayOrderNow = (): boolean => {
      const { lease, mustRead } = store.read(domain);
      return !isStopping && !mustRead && mayOrder(lease, clock.now(), orderTimeoutMs);
    };
    if (mayOrderNow()) {
      for (const task of listOrders(input, clock.now())) sender.send(task, mayOrderNow);
      return;
    }
    if (!isPlatformDown) return;
    for (const task of listRestoreOrders(input, clock.now())) sender.send(task, () => !isStopping);
  }

  function performAction(
    domain: string,
    action: OwnerAction,
    reasons: readonly PlanReason[],
  ): void {
    switch (action.kind) {
      case 'none':
        return;
      case 'refuse':
        logger.log('planRefused', { domain, faults: JSON.stringify(action.faults) });
        return;
      case 'read':
        trackCall(domain, readPlan(domain));
        return;
      case 'write':
        trackCall(domain, writePlan(domain, action, reasons));
        return;
    }
  }

  function trackCall(domain: string, call: Promise<void>): void {
    pendingCalls.set(
      domain,
      call.finally(() => pendingCalls.delete(domain)),
    );
  }

  async function readPlan(domain: string): Promise<void> {
    const answer = await platform.read('domain-plan', domain);
    isPlatformDown = answer.isErr();
    if (answer.isErr()) return;
    const stored = answer.value === undefined ? undefined : store.parse(answer.value);
    // An existing but invalid object must not be overwritten as if it were absent.
    if (answer.value !== undefined && !answer.value.deleted && stored === undefined) return;
    store.write(domain, applyRead(store.read(domain), stored, self, clock.now()));
  }

  async function writePlan(
    domain: string,
    action: WriteAction,
    reasons: readonly PlanReason[],
  ): Promise<void> {
    const { expected, plan, purpose } = action;
    const state = store.read(domain);
    writeCount += 1;
    const nonce = `${self.entry}/${self.incarnation}/${writeCount}`;
    const firstOrderAt = findOrderStart(state, purpose, orderTimeoutMs);
    const pending = { nonce, sentAt: clock.now(), purpose, firstOrderAt };
    store.write(domain, beginWrite(state, pending));
    const write = { kind: 'domain-plan' as const, name: domain, expected, nonce, value: plan };
    const answer = await platform.write(write);
    const after = store.read(domain);
    isPlatformDown = answer.isErr();
    if (answer.isErr()) {
      store.write(domain, markWriteUncertain(after));
      return;
    }
    const object = answer.value.kind === 'written' ? answer.value.object : answer.value.current;
    const stored = object === undefined ? undefined : store.parse(object);
    store.write(domain, applyRead(after, stored, self, clock.now()));
    logWrite(domain, action, answer.value.kind === 'written', reasons);
  }

  function logWrite(
    domain: string,
    { purpose, plan }: WriteAction,
    isWritten: boolean,
    reasons: readonly PlanReason[],
  ): void {
    if (!isWritten) {
      if (purpose !== 'take') logger.log('domainLost', { domain });
      return;
    }
    const { fence } = plan;
    if (purpose === 'take') logger.log('domainTaken', { domain, term: plan.owner?.term });
    if (purpose !== 'plan') return;
    logger.log('planWritten', { domain, fence, reasons: JSON.stringify(reasons) });
  }

  async function handOverDomain(domain: string): Promise<void> {
    const action = decideHandOver(store.read(domain));
    if (action.kind === 'write') await writePlan(domain, action, []);
  }

  async function handOver(): Promise<void> {
    isStopping = true;
    clearInterval(timer);
    await Promise.all(pendingCalls.values());
    await sender.whenIdle();
    await Promise.all([...board.plans.read().keys()].map(handOverDomain));
  }

  return {
    start: () => {
      lastTickAt = clock.now();
      watchingSince = lastTickAt;
      watch.start();
      timer = setInterval(tick, planEveryMs);
    },
    stop: async () => {
      isStopping = true;
      clearInterval(timer);
      await watch.stop();
      await Promise.all(pendingCalls.values());
      await sender.whenIdle();
    },
    handOver,
    exportPlans: () => store.exportObjects(),
    importPlans: (objects) => {
      store.merge(objects);
    },
  };
}
