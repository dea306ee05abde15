/**
 * Plans the fabric domains that this entry owns and gives the engines their orders.
 */
import { createWatchLoop } from '../../adapters/platform/index.js';
import { countEntries, findWatchPause } from '../../controllers/membership/index.js';
import {
  beginWrite,
  concludeRead,
  decideHandOver,
  decideOwnership,
  DEFAULT_ESTIMATES,
  describeSupply,
  doubtWrite,
  findOrderStart,
  findPlanWatchMs,
  findTakeOverTime,
  groupDomains,
  listDrained,
  listOrders,
  listRestoreOrders,
  locateDomain,
  mayOrder,
  planDomain,
  rankOwners,
  splitDemand,
  updateHistory,
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
import { createOrderSender, type ReportSink } from './order-sender.js';
import { createPlanStore } from './plan-store.js';

/** The part, and what the rest of the entry needs of it. */
export interface ReplicasPart extends Part {
  /** Gives all domains away; no order is under way and none follows when it resolves. */
  handOver(): Promise<void>;
  /** Plans for an entry that cannot reach the platform. */
  exportPlans(): StoredObject[];
  /** Plans that a peer passed on; older ones than those known are dropped. */
  importPlans(objects: readonly StoredObject[]): void;
}

/** What the part can be given beside its context. */
export interface ReplicasOptions {
  /** Takes the reports that orders bring; `health` has one. */
  keepReport: ReportSink;
  estimates?: Partial<Estimates>;
}

/** A tick that comes later than this share of a lease means that the process stood still. */
const PAUSE_SHARE = 0.5;

/**
 * Times the freshness bound that an engine must be unheard before it counts as lost. This entry has
 * asked it itself by then, whoever else probes it.
 */
const LOSS_RATIO = 1.1;

type WriteAction = Extract<OwnerAction, { kind: 'write' }>;

/**
 * The replicas part of an entry.
 *
 * @example const replicas = createReplicasPart(context, { keepReport: health.keepReport });
 */
export function createReplicasPart(context: EntryContext, options: ReplicasOptions): ReplicasPart {
  const { board, clock, identity, logger, platform, random, settings } = context;
  const { leaseMs, orderTimeoutMs, planEveryMs } = settings.replicas;
  const self = { entry: identity.name, incarnation: identity.incarnation };
  const lossMs = settings.health.freshMs * LOSS_RATIO;
  const estimates = { ...DEFAULT_ESTIMATES, lossMs, ...options.estimates };
  const store = createPlanStore(context, self);
  const sender = createOrderSender(context, options.keepReport);
  const histories = new Map<string, LossHistory>();
  const calls = new Map<string, Promise<void>>();
  let timer: NodeJS.Timeout | undefined;
  let writes = 0;
  let watchingSince = clock.now();
  let lastTickAt = clock.now();
  let isStopping = false;
  /** All plans were read once; before that, a domain without a plan may just be unread. */
  let isListed = false;
  /** The last call about a plan failed; orders that need no lease may be sent. */
  let isPlatformDown = false;

  const watch = createWatchLoop({
    platform,
    kinds: ['domain-plan'],
    waitMs: findPlanWatchMs(leaseMs, settings.platform.watchMs),
    pauseMs: () => findWatchPause(countEntries(board.fleet.read())),
    random,
    logger,
    onList: ({ objects }) => {
      isListed = true;
      store.take(objects);
    },
  });

  /**
   * A process that was paused wakes with plans and reports of long ago. Everything is read again
   * before a write or an order, and silence counts from now.
   */
  function noticePause(): void {
    const now = clock.now();
    const gapMs = now - lastTickAt;
    lastTickAt = now;
    if (gapMs <= leaseMs * PAUSE_SHARE) return;
    watchingSince = now;
    logger.log('ownerPaused', { gapMs: Math.round(gapMs) });
    isPlatformDown = false;
    for (const domain of board.plans.read().keys()) {
      const state = store.read(domain);
      if (state.lease !== undefined) store.write(domain, doubtWrite(state));
    }
  }

  function tick(): void {
    noticePause();
    if (isStopping) return;
    const domains = groupDomains(board.fleet.read(), board.health.read());
    const candidates = listCandidates();
    const shares = splitShares(domains);
    for (const [domain, members] of domains) {
      if (calls.has(domain)) continue;
      const order = rankOwners(locateDomain(domain, members), candidates);
      const rank = order.indexOf(identity.name);
      const share = shares.find((other) => other.domain === domain);
      lookAtDomain(domain, members, rank, share);
    }
  }

  function lookAtDomain(
    domain: string,
    members: DomainMembers,
    rank: number,
    share: DomainShare | undefined,
  ): void {
    const state = store.read(domain);
    const now = clock.now();
    const situation = { self, rank: isListed ? rank : undefined, leaseMs };
    if (state.lease === undefined) {
      perform(domain, decideOwnership(state, situation, undefined, now), []);
      return;
    }
    const input = createInput(domain, members, state, share);
    const decision = planDomain(input, now);
    sendOrders(domain, input);
    perform(domain, decideOwnership(state, situation, decision, now), decision.reasons);
  }

  function createInput(
    domain: string,
    members: DomainMembers,
    state: DomainState,
    share: DomainShare | undefined,
  ): OrderInput {
    const now = clock.now();
    const { models, policy } = board.configuration.read();
    const plan = state.stored?.plan ?? { fence: 0, replicas: [], spares: [] };
    const timing = { estimates, watchingSince };
    const before = histories.get(domain) ?? new Map();
    const history = updateHistory({ ...timing, members, history: before }, now);
    histories.set(domain, history);
    return {
      ...timing,
      domain,
      plan,
      members,
      history,
      models: new Map([...models].map(([name, { value }]) => [name, value])),
      wanted: share?.wanted ?? new Map<string, number>(),
      drained: listDrained(plan, readInFlight(), now),
      objective: policy.objective,
      fencingChecked: policy.fencingChecked,
    };
  }

  function readInFlight() {
    const { forgetMs } = settings.membership;
    const { attempts, peers, health } = board;
    return { attempts: attempts.read(), peers: peers.read(), health: health.read(), forgetMs };
  }

  function splitShares(domains: ReadonlyMap<string, DomainMembers>): DomainShare[] {
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

  /** Entries that may own domains: those heard lately that stay. */
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
    const maySend = (): boolean => {
      const { lease, mustRead } = store.read(domain);
      return !isStopping && !mustRead && mayOrder(lease, clock.now(), orderTimeoutMs);
    };
    if (maySend()) {
      for (const task of listOrders(input, clock.now())) sender.send(task, maySend);
      return;
    }
    if (!isPlatformDown) return;
    for (const task of listRestoreOrders(input, clock.now())) sender.send(task, () => !isStopping);
  }

  function perform(domain: string, action: OwnerAction, reasons: readonly PlanReason[]): void {
    switch (action.kind) {
      case 'none':
        return;
      case 'refuse':
        logger.log('planRefused', { domain, faults: JSON.stringify(action.faults) });
        return;
      case 'read':
        track(domain, readPlan(domain));
        return;
      case 'write':
        track(domain, writePlan(domain, action, reasons));
        return;
    }
  }

  function track(domain: string, call: Promise<void>): void {
    calls.set(
      domain,
      call.finally(() => calls.delete(domain)),
    );
  }

  async function readPlan(domain: string): Promise<void> {
    const answer = await platform.read('domain-plan', domain);
    isPlatformDown = answer.isErr();
    if (answer.isErr()) return;
    const stored = answer.value === undefined ? undefined : store.parse(answer.value);
    // An object that is there but cannot be used must not be overwritten as if it were absent.
    if (answer.value !== undefined && !answer.value.deleted && stored === undefined) return;
    store.write(domain, concludeRead(store.read(domain), stored, self, clock.now()));
  }

  async function writePlan(
    domain: string,
    action: WriteAction,
    reasons: readonly PlanReason[],
  ): Promise<void> {
    const { expected, plan, purpose } = action;
    const state = store.read(domain);
    writes += 1;
    const nonce = `${self.entry}/${self.incarnation}/${writes}`;
    const firstOrderAt = findOrderStart(state, purpose, orderTimeoutMs);
    const pending = { nonce, sentAt: clock.now(), purpose, firstOrderAt };
    store.write(domain, beginWrite(state, pending));
    const write = { kind: 'domain-plan' as const, name: domain, expected, nonce, value: plan };
    const answer = await platform.write(write);
    const after = store.read(domain);
    isPlatformDown = answer.isErr();
    if (answer.isErr()) {
      store.write(domain, doubtWrite(after));
      return;
    }
    const object = answer.value.kind === 'written' ? answer.value.object : answer.value.current;
    const stored = object === undefined ? undefined : store.parse(object);
    store.write(domain, concludeRead(after, stored, self, clock.now()));
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

  async function giveAway(domain: string): Promise<void> {
    const action = decideHandOver(store.read(domain));
    if (action.kind === 'write') await writePlan(domain, action, []);
  }

  async function handOver(): Promise<void> {
    isStopping = true;
    clearInterval(timer);
    await Promise.all(calls.values());
    await sender.settle();
    await Promise.all([...board.plans.read().keys()].map(giveAway));
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
      await Promise.all(calls.values());
      await sender.settle();
    },
    handOver,
    exportPlans: () => store.exportObjects(),
    importPlans: (objects) => {
      store.take(objects);
    },
  };
}
