/**
 * Keeps the replicas of one fabric domain and service, while this gateway owns it.
 */
import {
  EMPTY_PLAN,
  groupPlanSchema,
  lifeKey,
  listOrders,
  revisePlan,
  type DomainView,
  type DueOrder,
  type GroupPlan,
  type GroupTarget,
} from '../../controllers/groups/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer, EngineProfile, OrderOutcome } from '../../ports/index.js';
import type { EngineCalls } from '../backends/short-call.js';
import type { Backends } from '../requests/backends.js';
import type { ObjectStore } from '../store/client.js';
import { eraOf, revisionOf } from '../store/place.js';
import type { GatewayContext } from '../types.js';
import { createLossFinder } from './losses.js';

/** One fabric domain of one service, as the fleet shows it now. */
export interface DomainState {
  service: string;
  domain: string;
  profile: EngineProfile;
  servers: readonly BackendServer[];
  targets: readonly GroupTarget[];
  beforeTraffic: boolean;
  loadSlots: number;
}

/** Plans and orders for one domain. */
export interface DomainKeeper {
  /** One round: reads, plans, stores and orders what is due. Rounds never overlap. */
  round(state: DomainState): void;
  /** Another gateway owns the domain: everything known of its plan may be old. */
  release(): void;
}

interface DomainKeeperOptions {
  context: GatewayContext;
  store: ObjectStore;
  calls: EngineCalls;
  backends: Backends;
}

/** Plans are objects of this kind, one for each service and domain. */
const PLAN_KIND = 'group-plans';
/** An order whose effect is not seen is sent again after this. */
const REPEAT_ORDER_MS: Milliseconds = 900;
/** Staging takes as long as a load; the engine shows nothing of it until the end. */
const REPEAT_STAGE_MS: Milliseconds = 30_000;
/** An engine has seen a higher epoch than that of the order. */
const OUTDATED_STATUS = 412;
/** Pause after a store call that failed. */
const STORE_PAUSE_MS: Milliseconds = 150;

interface StagingUnderWay {
  model: string;
  since: Milliseconds;
}

interface StoredPlan {
  plan: GroupPlan;
  /** Absent while the object does not exist. */
  revision?: number;
}

export function createDomainKeeper(options: DomainKeeperOptions): DomainKeeper {
  const { context, store, calls, backends } = options;
  const { clock, logger, metrics } = context;
  const losses = createLossFinder(context, calls);
  const refused = new Set<string>();
  const sentAt = new Map<string, Milliseconds>();
  /** By life, like all that is remembered of an engine here. */
  const staging = new Map<string, StagingUnderWay>();
  let stored: StoredPlan | undefined;
  let isBusy = false;
  let storePausedUntil = 0;

  const planName = ({ service, domain }: DomainState): string => `${service}.${domain}`;

  const readPlan = async (state: DomainState): Promise<void> => {
    const read = await store.read(PLAN_KIND, planName(state));
    if (read.isErr()) {
      storePausedUntil = clock.now() + STORE_PAUSE_MS;
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
  /** The plan stands in a history that the store has left: it is read anew. */
  const dropFormer = (): void => {
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
    // Whether it was lost, refused or overtaken: what counts is what the store has.
    const outcome = written.isErr() ? written.error.message : written.value.kind;
    logger.log('planNotWritten', { domain: state.domain, outcome });
    stored = undefined;
    storePausedUntil = clock.now() + (written.isErr() ? STORE_PAUSE_MS : 0);
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
  const listStaging = ({ servers }: DomainState): ReadonlySet<string> => {
    const now = clock.now();
    for (const server of servers) {
      const entry = staging.get(lifeKey(server));
      if (entry === undefined) continue;
      const isOver = server.engine?.staged.includes(entry.model) ?? false;
      if (isOver || now - entry.since > REPEAT_STAGE_MS) staging.delete(lifeKey(server));
    }
    const known = new Set(servers.map(lifeKey));
    for (const life of staging.keys()) if (!known.has(life)) staging.delete(life);
    return new Set(servers.filter((server) => staging.has(lifeKey(server))).map(({ id }) => id));
  };
  const viewOf = (state: DomainState): DomainView => ({
    profile: state.profile,
    targets: state.targets,
    servers: new Map(state.servers.map((server) => [server.id, server])),
    lost: losses.lost,
    slow: losses.slow,
    staging: listStaging(state),
    loadSlots: state.loadSlots,
    beforeTraffic: state.beforeTraffic,
    failed: new Set([...refused, ...losses.stuck]),
  });
  const examineSuspects = (plan: GroupPlan): void => {
    const now = clock.now();
    for (const group of plan.groups) {
      const isSuspect = group.members.some(({ id }) => backends.suspicions.isSuspect(id, now));
      if (isSuspect && group.closing === 'no') losses.examine(group, now);
    }
    losses.recheck(now);
  };
  const sendOrder = async (due: DueOrder): Promise<void> => {
    const { order, to } = due;
    const startedAt = clock.now();
    const outcome = await calls.order(due);
    metrics.orders.inc({ kind: order.kind, outcome: outcome.kind });
    logger.log('orderSent', {
      order: order.kind,
      server: to.id,
      group: 'group' in order ? order.group : undefined,
      model: 'model' in order ? order.model : undefined,
      outcome: outcome.kind,
      status: 'status' in outcome ? outcome.status : undefined,
      tookMs: Math.round(clock.now() - startedAt),
    });
    takeOutcome(due, outcome);
  };
  /**
   * Guards against an entry that outlives its process, or comes back with a word that arrives late:
   * replicas planned with it never form, and their other members serve nobody until it lapses, after
   * seconds. The answer at its address proves that it has ended; probes go on asking for it.
   */
  const takeOutcome = ({ order, to }: DueOrder, outcome: OrderOutcome): void => {
    switch (outcome.kind) {
      case 'accepted':
      case 'unknown':
        if (order.kind === 'stage')
          staging.set(lifeKey(to), { model: order.model, since: clock.now() });
        break;
      case 'refused':
        if (order.kind === 'join' && outcome.status === OUTDATED_STATUS) refused.add(order.group);
        break;
      case 'otherInstance':
      case 'gone':
        losses.lose(to, outcome.kind);
        break;
      case 'done':
        break;
    }
  };
  const isDue = (due: DueOrder, now: Milliseconds): boolean => {
    const { order, to } = due;
    const key = `${lifeKey(to)} ${order.kind} ${'group' in order ? order.group : order.model}`;
    const last = sentAt.get(key);
    const repeatMs = order.kind === 'stage' ? REPEAT_STAGE_MS : REPEAT_ORDER_MS;
    if (last !== undefined && now - last < repeatMs) return false;
    sentAt.set(key, now);
    return true;
  };
  const runRound = async (state: DomainState): Promise<void> => {
    dropFormer();
    if (stored === undefined) {
      if (clock.now() < storePausedUntil) return;
      await readPlan(state);
    }
    if (stored === undefined) return;
    const names = new Set(stored.plan.groups.map(({ name }) => name));
    // A plan may name a member without its life; then its id alone has to do.
    const lives = state.servers.flatMap((server) => [server.id, lifeKey(server)]);
    losses.keepOnly(new Set(lives), names);
    examineSuspects(stored.plan);
    const view = viewOf(state);
    const next = revisePlan(stored.plan, view);
    if (next !== stored.plan && clock.now() >= storePausedUntil) await writePlan(state, next);
    // The store's answer takes its time, and may have been that another plan stands.
    const current = stored as StoredPlan | undefined;
    if (current === undefined) return;
    const now = clock.now();
    const due = listOrders(current.plan, view).filter((order) => isDue(order, now));
    for (const order of due) void sendOrder(order);
  };
  return {
    round: (state) => {
      if (isBusy) return;
      isBusy = true;
      runRound(state)
        .catch((error: unknown) => {
          logger.log('unexpectedError', { reason: String(error), where: 'groups' });
        })
        .finally(() => {
          isBusy = false;
        });
    },
    release: () => {
      stored = undefined;
      sentAt.clear();
    },
  };
}
