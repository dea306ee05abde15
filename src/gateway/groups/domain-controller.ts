/**
 * Reconciles the replicas of one service in one fabric domain while this gateway owns it.
 */
import {
  countLoadRoom,
  coversPlan,
  EMPTY_PLAN,
  findJoinGrant,
  grantLoads,
  groupPlanSchema,
  incarnationKey,
  listHeldGrants,
  listOrders,
  listUnderWay,
  LOAD_WINDOW_MS,
  ORDER_LATENESS_MS,
  reportsLaterEpoch,
  revisePlan,
  toStageOrder,
  type DomainView,
  type DueOrder,
  type GroupPlan,
  type GroupTarget,
  type LoadGrant,
  type LoadKnowledge,
  type LoadLimits,
} from '../../controllers/groups/index.js';
import { isEvacuated } from '../../controllers/evacuation/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer, EngineProfile, OrderOutcome } from '../../ports/index.js';
import type { EngineCalls } from '../backends/engine-calls.js';
import type { BackendTracker } from '../requests/backend-tracker.js';
import type { ObjectStore } from '../store/client.js';
import { eraOf, revisionOf } from '../store/qualified-revision.js';
import type { GatewayContext } from '../types.js';
import { describeMembers, describeView, toEntryRevision } from './decision-basis.js';
import { createMemberMonitor } from './member-monitor.js';
import { createOrderHistory } from './order-history.js';

/** Current state of one service in one fabric domain. */
export interface DomainState extends LoadLimits {
  service: string;
  domain: string;
  profile: EngineProfile;
  servers: readonly BackendServer[];
  targets: readonly GroupTarget[];
  beforeTraffic: boolean;
}

/** The state of a domain, and how recent the entries of its instances are. */
interface KnownDomain extends DomainState {
  serversById: ReadonlyMap<string, BackendServer>;
  fleetRevision: number;
  /** Time as of which the entries are known to be the newest. */
  confirmedAt: Milliseconds;
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
  /** Called when a plan says that the gateways have served requests. */
  onTraffic(): void;
}

/** Kind of the store objects that hold plans, one per service and domain. */
const PLAN_KIND = 'group-plans';
/** Time after which an order without a visible effect is sent again. */
const ORDER_RETRY_MS: Milliseconds = 900;
/** Time without grants after the store was restored from a copy that may lack some: orders may be late. */
const RESTORE_HOLD_MS: Milliseconds = ORDER_LATENESS_MS + LOAD_WINDOW_MS;
/** Response status of an engine that has seen a higher epoch than that of the order. */
const STALE_EPOCH_STATUS = 412;
/** Delay after a failed store call. */
const STORE_RETRY_DELAY_MS: Milliseconds = 150;

/**
 * In place of a plan that another writer has overwritten, as if a restored store lacked it: the groups
 * that have formed are adopted. Loads are limited, whether the lost plan said so or not.
 */
const UNREADABLE_PLAN: GroupPlan = { ...EMPTY_PLAN, hasTraffic: true };

interface SendableOrder {
  due: DueOrder;
  /** Absent if the order causes no load. */
  grant: LoadGrant | undefined;
}

interface StoredPlan {
  plan: GroupPlan;
  /** When the plan was read, or written by this gateway. */
  knownAt: Milliseconds;
  /** Absent if the object does not exist yet. */
  revision?: number;
  /** Whether another plan takes the place of one that can't be read, so that nothing says what it rested on. */
  isUnreadable?: boolean;
}

function readFleetAge({
  board,
}: Pick<GatewayContext, 'board'>): Pick<KnownDomain, 'fleetRevision' | 'confirmedAt'> {
  const confirmedAt = board.fleetProof.read()?.at ?? Number.NEGATIVE_INFINITY;
  return { fleetRevision: board.fleet.read().revision, confirmedAt };
}

export function createDomainController(options: DomainControllerOptions): DomainController {
  const { context, store, calls, backends } = options;
  const { clock, logger, metrics } = context;
  const memberMonitor = createMemberMonitor(context, calls);
  const orderHistory = createOrderHistory(clock);
  const refusedGroups = new Set<string>();
  const lastSentAt = new Map<string, Milliseconds>();
  /** When this gateway first saw each grant of the stored plan. */
  const knownSince = new Map<string, Milliseconds>();
  const answers = new Map<string, 'accepted' | 'refused'>();
  /** Grants whose order was sent; an order to stage is sent once. */
  const sentGrants = new Set<string>();
  let grantCount = 0;
  let grantsFrom = Number.NEGATIVE_INFINITY;
  let stored: StoredPlan | undefined;
  /** Revision of the fleet by which the cached plan was last found to be outdated. */
  let comparedRevision: number | undefined;
  /** Revision of the last plan that was logged as resting on more than this gateway knows. */
  let loggedAheadRevision: number | undefined;
  let isReconciling = false;
  /** How often the domain was released; what was read or written before no longer counts. */
  let releases = 0;
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
      stored = { plan: EMPTY_PLAN, knownAt: clock.now() };
      return;
    }
    const parsed = groupPlanSchema.safeParse(read.value.value);
    const { revision } = read.value;
    if (parsed.success) {
      stored = { plan: parsed.data, revision, knownAt: clock.now() };
      return;
    }
    logger.log('planUnreadable', { domain: state.domain, reason: parsed.error.message });
    stored = { plan: UNREADABLE_PLAN, revision, knownAt: clock.now(), isUnreadable: true };
    grantsFrom = clock.now() + RESTORE_HOLD_MS;
  };
  /** Discards a plan read before the store was restored from an older copy. */
  const discardPlanOfFormerEra = (): void => {
    const revision = stored?.revision;
    if (revision === undefined || eraOf(revision) >= store.era()) return;
    stored = undefined;
    // Names and epochs may be assigned again.
    orderHistory.clear();
    grantsFrom = clock.now() + RESTORE_HOLD_MS;
  };
  const writePlan = async (state: KnownDomain, plan: GroupPlan): Promise<void> => {
    const written = await store.write(PLAN_KIND, planName(state), plan, stored?.revision);
    if (written.isOk() && written.value.kind === 'written') {
      const before = stored;
      stored = { plan, revision: written.value.object.revision, knownAt: clock.now() };
      logPlan(state, plan);
      if (before) logDroppedGroups(state, before, plan);
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
      ...describeView(context),
    });
  };
  const logDroppedGroups = (state: KnownDomain, before: StoredPlan, after: GroupPlan): void => {
    const kept = new Set(after.groups.map(({ name }) => name));
    for (const group of before.plan.groups.filter(({ name }) => !kept.has(name))) {
      logger.log('groupDropped', {
        domain: state.domain,
        group: group.name,
        closing: group.closing,
        members: describeMembers(group, createView(state, [])),
        planRevision: before.revision && revisionOf(before.revision),
        ...describeView(context),
      });
    }
  };
  const createGrantId = (): string => {
    grantCount += 1;
    return `${context.incarnation}/${grantCount}`;
  };
  /** Follows the grants of the stored plan and forgets those that it no longer has. */
  const observeGrants = (plan: GroupPlan): void => {
    const ids = new Set((plan.loads ?? []).map(({ id }) => id));
    for (const id of ids) if (!knownSince.has(id)) knownSince.set(id, clock.now());
    for (const known of [knownSince, answers, sentGrants])
      for (const id of known.keys()) if (!ids.has(id)) known.delete(id);
  };
  const knowledgeOf = ({ profile, serversById, fleetRevision }: KnownDomain): LoadKnowledge => ({
    profile,
    servers: serversById,
    fleetRevision,
    knownSince,
    answers,
  });
  const createView = (state: KnownDomain, underWay: readonly LoadGrant[]): DomainView => ({
    profile: state.profile,
    fleetRevision: state.fleetRevision,
    isNewerThanPlan: stored !== undefined && state.confirmedAt > stored.knownAt,
    targets: state.targets,
    servers: state.serversById,
    lost: memberMonitor.lost,
    slow: memberMonitor.slow,
    staging: new Set(underWay.map(({ server }) => server)),
    loadSlots: state.loadSlots,
    beforeTraffic: state.beforeTraffic,
    self: context.incarnation,
    overdueGroups: orderHistory.overdueGroups(ORDER_RETRY_MS),
    answeredOrders: orderHistory.answered(),
    settledGroups: orderHistory.settledGroups(),
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
  const sendOrder = async (
    due: DueOrder,
    grant: LoadGrant | undefined,
    state: KnownDomain,
  ): Promise<void> => {
    const { order, to, reason, causesLoad } = due;
    const { beforeTraffic } = state;
    if (grant) sentGrants.add(grant.id);
    const basis = {
      planRevision: stored?.revision && revisionOf(stored.revision),
      entryRevision: toEntryRevision(state.serversById.get(to.id)),
      ...describeView(context),
    };
    const startedAt = clock.now();
    const sentAt = Date.now();
    if (causesLoad) metrics.loads.inc({ reason, traffic: beforeTraffic ? 'notBegun' : 'begun' });
    const outcome = await calls.order(due);
    orderHistory.record(order, to.id, outcome.kind);
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
      ...basis,
    });
    handleOutcome(due, outcome, grant);
  };
  /**
   * Marks an instance as lost if the response shows that it has ended, because its store entry may
   * outlive the process and a replica planned with it would never form.
   */
  const handleOutcome = (
    { order, to }: DueOrder,
    outcome: OrderOutcome,
    grant: LoadGrant | undefined,
  ): void => {
    switch (outcome.kind) {
      case 'accepted':
        if (grant) answers.set(grant.id, 'accepted');
        break;
      case 'unknown':
        break;
      case 'refused':
        // An earlier copy of an order to join may still be carried out.
        if (grant?.order === 'stage') answers.set(grant.id, 'refused');
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
  const sendKey = ({ order, to }: DueOrder): string =>
    `${incarnationKey(to)} ${order.kind} ${'group' in order ? order.group : order.model}`;
  /** Whether an order that is repeated needs a plan that was read since it was last sent. */
  const needsNewerPlan = (due: DueOrder, { knownAt }: StoredPlan): boolean => {
    if (due.order.kind !== 'join' && due.order.kind !== 'open') return false;
    return knownAt <= (lastSentAt.get(sendKey(due)) ?? -Infinity);
  };
  const isDue = (due: DueOrder, now: Milliseconds): boolean => {
    const key = sendKey(due);
    const sentAt = lastSentAt.get(key);
    return sentAt === undefined || now - sentAt >= ORDER_RETRY_MS;
  };
  const isOwnGrant = ({ id }: LoadGrant): boolean => id.startsWith(`${context.incarnation}/`);
  /**
   * The orders that may be sent, with their grants. An order to stage is sent once; one to join may be sent
   * again, because engines ignore a copy of it. Whoever sends the joins of a group also uses the grants of the
   * sender before.
   */
  const listSendable = (plan: GroupPlan, view: DomainView): SendableOrder[] => {
    const { loads = [] } = plan;
    const stages = loads.filter(isOwnGrant).flatMap((grant): SendableOrder[] => {
      const due = sentGrants.has(grant.id) ? undefined : toStageOrder(grant, view.servers);
      return due ? [{ due, grant }] : [];
    });
    const others = listOrders(plan, view).flatMap((due): SendableOrder[] => {
      if (!due.causesLoad) return [{ due, grant: undefined }];
      const grant = findJoinGrant(loads, due);
      return grant ? [{ due, grant }] : [];
    });
    return [...stages, ...others];
  };
  /** Adds grants for the loads that are due, and removes those that are over if the plan changes anyway. */
  const withGrants = (
    plan: GroupPlan,
    view: DomainView,
    held: readonly LoadGrant[],
    state: KnownDomain,
  ): GroupPlan => {
    const now = clock.now();
    const isLimited = !state.beforeTraffic;
    const knowledge = knowledgeOf(state);
    const room = isLimited ? countLoadRoom(held, state, knowledge, now) : Number.POSITIVE_INFINITY;
    const due =
      now < grantsFrom
        ? []
        : listOrders(plan, view).filter((order) => !calls.isCoolingDown(order.to));
    const underWay = listUnderWay(held, knowledge);
    const granted = grantLoads(due, underWay, room, createGrantId, knowledge.fleetRevision);
    const hasNewTraffic = isLimited && plan.hasTraffic !== true;
    const isChanged = plan !== stored?.plan || granted.length > 0 || hasNewTraffic;
    if (!isChanged) return plan;
    return { ...plan, loads: [...held, ...granted], ...(isLimited && { hasTraffic: true }) };
  };
  /**
   * Discards a cached plan if an instance reports an epoch that it has not assigned: another owner may have
   * changed the plan, and its groups are no orphans. Does so once for each state of the fleet, since a
   * store that was restored may have lost the change.
   */
  const discardOutdatedPlan = (state: KnownDomain): void => {
    if (stored === undefined || state.fleetRevision === comparedRevision) return;
    if (!reportsLaterEpoch(state.servers, stored.plan)) return;
    comparedRevision = state.fleetRevision;
    stored = undefined;
  };
  /** Whether this gateway knows what the plan rests on; logs the first time that it doesn't. */
  const isCovered = (
    state: DomainState,
    view: DomainView,
    { plan, revision, isUnreadable }: StoredPlan,
  ): boolean => {
    if (isUnreadable ? view.isNewerThanPlan : coversPlan(view, plan)) return true;
    if (revision !== loggedAheadRevision) {
      loggedAheadRevision = revision;
      logger.log('planAheadOfView', {
        domain: state.domain,
        planRevision: revision && revisionOf(revision),
        planViewRevision: plan.fleetRevision && revisionOf(plan.fleetRevision),
        ...describeView(context),
      });
    }
    return false;
  };
  const sendDueOrders = (current: StoredPlan, view: DomainView, state: KnownDomain): void => {
    const now = clock.now();
    const sendable = listSendable(current.plan, view).filter(
      ({ due }) => !calls.isCoolingDown(due.to) && isDue(due, now),
    );
    const outdated = sendable.filter(({ due }) => needsNewerPlan(due, current));
    for (const each of sendable) {
      if (outdated.includes(each)) continue;
      lastSentAt.set(sendKey(each.due), now);
      void sendOrder(each.due, each.grant, state);
    }
    if (outdated.length > 0) stored = undefined;
  };
  const runReconcile = async (state: KnownDomain): Promise<void> => {
    const releasesBefore = releases;
    const isReleased = (): boolean => releases !== releasesBefore;
    discardPlanOfFormerEra();
    discardOutdatedPlan(state);
    if (stored === undefined) {
      if (clock.now() < storeRetryAt) return;
      await readPlan(state);
    }
    if (isReleased()) stored = undefined;
    if (stored === undefined) return;
    // The plan shows a restore that the entries don't show yet.
    if (eraOf(stored.revision ?? 0) > eraOf(state.fleetRevision)) return;
    if (stored.plan.hasTraffic && state.beforeTraffic) {
      // The state was derived as if loads were free.
      options.onTraffic();
      return;
    }
    const groupNames = new Set(stored.plan.groups.map(({ name }) => name));
    // A plan may name a member without its start time; such a member is matched by id alone.
    const incarnationKeys = state.servers.flatMap((server) => [server.id, incarnationKey(server)]);
    memberMonitor.retain(new Set(incarnationKeys), groupNames);
    orderHistory.observe(stored.plan);
    checkSuspectGroups(stored.plan);
    observeGrants(stored.plan);
    const knowledge = knowledgeOf(state);
    const held = listHeldGrants(stored.plan, knowledge, clock.now());
    const view = createView(state, listUnderWay(held, knowledge));
    if (!isCovered(state, view, stored)) return;
    const next = withGrants(revisePlan(stored.plan, view), view, held, state);
    if (next !== stored.plan && clock.now() >= storeRetryAt) await writePlan(state, next);
    // Writing the plan is asynchronous and resets `stored` if it failed.
    const current = stored as StoredPlan | undefined;
    // What was just written names this gateway as the sender, also if another one has become the owner.
    if (isReleased()) stored = undefined;
    if (current === undefined) return;
    // The evacuation may have become known while the store was called.
    const failureDomain = state.servers[0]?.failureDomain ?? '';
    if (isEvacuated(context.board.evacuations.read(), failureDomain)) return;
    observeGrants(current.plan);
    sendDueOrders(current, view, state);
  };
  return {
    reconcile: (state) => {
      if (isReconciling) return;
      isReconciling = true;
      const serversById = new Map(state.servers.map((server) => [server.id, server]));
      runReconcile({ ...state, serversById, ...readFleetAge(context) })
        .catch((error: unknown) => {
          logger.log('unexpectedError', { reason: String(error), where: 'groups' });
        })
        .finally(() => {
          isReconciling = false;
        });
    },
    release: () => {
      releases += 1;
      stored = undefined;
      lastSentAt.clear();
    },
  };
}
