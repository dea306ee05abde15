/**
 * Reconciles the replicas of one service in one fabric domain while this gateway owns it.
 */
import {
  EMPTY_PLAN,
  groupPlanSchema,
  incarnationKey,
  listOrders,
  revisePlan,
  type DomainView,
  type DueOrder,
  type GroupPlan,
  type GroupTarget,
} from '../../controllers/groups/index.js';
import { isEvacuated } from '../../controllers/evacuation/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer, EngineProfile, OrderOutcome } from '../../ports/index.js';
import type { EngineCalls } from '../backends/engine-calls.js';
import type { BackendTracker } from '../requests/backend-tracker.js';
import type { ObjectStore } from '../store/client.js';
import { eraOf, revisionOf } from '../store/qualified-revision.js';
import type { GatewayContext } from '../types.js';
import { createMemberMonitor } from './member-monitor.js';

/** Current state of one service in one fabric domain. */
export interface DomainState {
  service: string;
  domain: string;
  profile: EngineProfile;
  servers: readonly BackendServer[];
  targets: readonly GroupTarget[];
  beforeTraffic: boolean;
  loadSlots: number;
}

/** Plans the replicas of one domain and sends orders to its engines. */
export interface DomainController {
  /** Revises and stores the plan, and sends the orders that are due. Does nothing while running. */
  reconcile(state: DomainState): void;
  /** Discards the cached plan, because another gateway may own the domain and change it. */
  release(): void;
}

interface DomainControllerOptions {
  context: GatewayContext;
  store: ObjectStore;
  calls: EngineCalls;
  backends: BackendTracker;
}

/** Kind of the store objects that hold plans, one per service and domain. */
const PLAN_KIND = 'group-plans';
/** Time after which an order without a visible effect is sent again. */
const ORDER_RETRY_MS: Milliseconds = 900;
/** Longer for staging, because engines don't report its progress. */
const STAGE_RETRY_MS: Milliseconds = 30_000;
/** Response status of an engine that has seen a higher epoch than that of the order. */
const STALE_EPOCH_STATUS = 412;
/** Delay after a failed store call. */
const STORE_RETRY_DELAY_MS: Milliseconds = 150;

interface PendingStaging {
  model: string;
  startedAt: Milliseconds;
}

interface StoredPlan {
  plan: GroupPlan;
  /** Absent if the object does not exist yet. */
  revision?: number;
}

export function createDomainController(options: DomainControllerOptions): DomainController {
  const { context, store, calls, backends } = options;
  const { clock, logger, metrics } = context;
  const memberMonitor = createMemberMonitor(context, calls);
  const refusedGroups = new Set<string>();
  const lastSentAt = new Map<string, Milliseconds>();
  /** By incarnation key, so that a restarted engine starts with a clean state. */
  const pendingStaging = new Map<string, PendingStaging>();
  let stored: StoredPlan | undefined;
  let isReconciling = false;
  let storeRetryAt = 0;

  const planName = ({ service, domain }: DomainState): string => `${service}.${domain}`;

  const readPlan = async (state: DomainState): Promise<void> => {
    const read = await store.read(PLAN_KIND, planName(state));
    if (read.isErr()) {
      storeRetryAt = clock.now() + STORE_RETRY_DELAY_MS;
      logger.log('planUnread', { domain: state.domain, reason: read.error.message });
      return;
    }
    if (read.value === undefined) {
      stored = { plan: EMPTY_PLAN };
      return;
    }
    const parsed = groupPlanSchema.safeParse(read.value.value);
    if (parsed.success) stored = { plan: parsed.data, revision: read.value.revision };
    else logger.log('planUnreadable', { domain: state.domain, reason: parsed.error.message });
  };
  /** Discards a plan read before the store was restored from an older copy. */
  const discardPlanOfFormerEra = (): void => {
    const revision = stored?.revision;
    if (revision !== undefined && eraOf(revision) < store.era()) stored = undefined;
  };
  const writePlan = async (state: DomainState, plan: GroupPlan): Promise<void> => {
    const written = await store.write(PLAN_KIND, planName(state), plan, stored?.revision);
    if (written.isOk() && written.value.kind === 'written') {
      stored = { plan, revision: written.value.object.revision };
      logPlan(state, plan);
      return;
    }
    // The write may have succeeded, failed or lost a race, so read the plan again.
    const outcome = written.isErr() ? written.error.message : written.value.kind;
    logger.log('planNotWritten', { domain: state.domain, outcome });
    stored = undefined;
    storeRetryAt = clock.now() + (written.isErr() ? STORE_RETRY_DELAY_MS : 0);
  };
  const logPlan = (state: DomainState, plan: GroupPlan): void => {
    logger.log('groupPlanWritten', {
      domain: state.domain,
      revision: stored?.revision && revisionOf(stored.revision),
      groups: plan.groups
        .map(({ name, model, closing, members }) => `${name}:${model}:${closing}:${members.length}`)
        .join(' '),
    });
  };
  const listStagingInstances = ({ servers }: DomainState): ReadonlySet<string> => {
    const now = clock.now();
    for (const server of servers) {
      const entry = pendingStaging.get(incarnationKey(server));
      if (entry === undefined) continue;
      const isDone = server.engine?.staged.includes(entry.model) ?? false;
      if (isDone || now - entry.startedAt > STAGE_RETRY_MS)
        pendingStaging.delete(incarnationKey(server));
    }
    const currentKeys = new Set(servers.map(incarnationKey));
    for (const key of pendingStaging.keys()) if (!currentKeys.has(key)) pendingStaging.delete(key);
    return new Set(
      servers.filter((server) => pendingStaging.has(incarnationKey(server))).map(({ id }) => id),
    );
  };
  const createView = (state: DomainState): DomainView => ({
    profile: state.profile,
    targets: state.targets,
    servers: new Map(state.servers.map((server) => [server.id, server])),
    lost: memberMonitor.lost,
    slow: memberMonitor.slow,
    staging: listStagingInstances(state),
    loadSlots: state.loadSlots,
    beforeTraffic: state.beforeTraffic,
    failedGroups: new Set([...refusedGroups, ...memberMonitor.stuckGroups]),
  });
  const checkSuspectGroups = (plan: GroupPlan): void => {
    const now = clock.now();
    for (const group of plan.groups) {
      const isSuspect = group.members.some(({ id }) => backends.suspicions.isSuspect(id, now));
      if (isSuspect && group.closing === 'no') memberMonitor.checkGroup(group, now);
    }
    memberMonitor.recheckLost(now);
  };
  const sendOrder = async (due: DueOrder, { beforeTraffic }: DomainState): Promise<void> => {
    const { order, to, reason, causesLoad } = due;
    const startedAt = clock.now();
    const sentAt = Date.now();
    if (causesLoad) metrics.loads.inc({ reason, traffic: beforeTraffic ? 'notBegun' : 'begun' });
    const outcome = await calls.order(due);
    metrics.orders.inc({ kind: order.kind, outcome: outcome.kind });
    logger.log('orderSent', {
      order: order.kind,
      server: to.id,
      group: 'group' in order ? order.group : undefined,
      model: 'model' in order ? order.model : undefined,
      why: reason,
      causesLoad,
      beforeTraffic,
      // The clocks of log lines begin with their processes; loads are summed over all gateways.
      sentAt,
      outcome: outcome.kind,
      status: 'status' in outcome ? outcome.status : undefined,
      tookMs: Math.round(clock.now() - startedAt),
    });
    handleOutcome(due, outcome);
  };
  /**
   * Marks an instance as lost if the response shows that it has ended, because its store entry may
   * outlive the process and a replica planned with it would never form.
   */
  const handleOutcome = ({ order, to }: DueOrder, outcome: OrderOutcome): void => {
    switch (outcome.kind) {
      case 'accepted':
      case 'unknown':
        if (order.kind === 'stage')
          pendingStaging.set(incarnationKey(to), { model: order.model, startedAt: clock.now() });
        break;
      case 'refused':
        if (order.kind === 'join' && outcome.status === STALE_EPOCH_STATUS)
          refusedGroups.add(order.group);
        break;
      case 'otherInstance':
      case 'gone':
        memberMonitor.markLost(to, outcome.kind);
        break;
      case 'done':
        break;
    }
  };
  const isDue = (due: DueOrder, now: Milliseconds): boolean => {
    const { order, to } = due;
    const key = `${incarnationKey(to)} ${order.kind} ${'group' in order ? order.group : order.model}`;
    const sentAt = lastSentAt.get(key);
    const retryMs = order.kind === 'stage' ? STAGE_RETRY_MS : ORDER_RETRY_MS;
    if (sentAt !== undefined && now - sentAt < retryMs) return false;
    lastSentAt.set(key, now);
    return true;
  };
  const runReconcile = async (state: DomainState): Promise<void> => {
    discardPlanOfFormerEra();
    if (stored === undefined) {
      if (clock.now() < storeRetryAt) return;
      await readPlan(state);
    }
    if (stored === undefined) return;
    const groupNames = new Set(stored.plan.groups.map(({ name }) => name));
    // A plan may name a member without its start time; such a member is matched by id alone.
    const incarnationKeys = state.servers.flatMap((server) => [server.id, incarnationKey(server)]);
    memberMonitor.retain(new Set(incarnationKeys), groupNames);
    checkSuspectGroups(stored.plan);
    const view = createView(state);
    const next = revisePlan(stored.plan, view);
    if (next !== stored.plan && clock.now() >= storeRetryAt) await writePlan(state, next);
    // Writing the plan is asynchronous and resets `stored` if it failed.
    const current = stored as StoredPlan | undefined;
    if (current === undefined) return;
    // The evacuation may have become known while the store was called.
    const failureDomain = state.servers[0]?.failureDomain ?? '';
    if (isEvacuated(context.board.evacuations.read(), failureDomain)) return;
    const now = clock.now();
    const due = listOrders(current.plan, view).filter(
      (order) => !calls.isCoolingDown(order.to) && isDue(order, now),
    );
    for (const order of due) void sendOrder(order, state);
  };
  return {
    reconcile: (state) => {
      if (isReconciling) return;
      isReconciling = true;
      runReconcile(state)
        .catch((error: unknown) => {
          logger.log('unexpectedError', { reason: String(error), where: 'groups' });
        })
        .finally(() => {
          isReconciling = false;
        });
    },
    release: () => {
      stored = undefined;
      lastSentAt.clear();
    },
  };
}
