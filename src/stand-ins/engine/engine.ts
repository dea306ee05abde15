/**
 * One model engine instance, as far as the system can tell from outside.
 */
import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import type { ResultAsync } from 'neverthrow';
import {
  createEngineClient,
  type CacheEventList,
  type EngineLoad,
  type EngineRefusal,
  type EngineReport,
  type EngineRequest,
  type Order,
} from '../../adapters/engines/index.js';
import type { Prefix } from '../../controllers/routing/index.js';
import { createSystemClock, type Clock } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import { createRandom } from '../../core/random/index.js';
import { openListener } from '../listener/index.js';
import { createCacheEventLog } from './cache-events.js';
import { createCompletions } from './completions.js';
import type { EngineControl } from './control.js';
import {
  journalEntry,
  type EngineJournal,
  type JournaledAttempt,
  type JournaledOrder,
  type JournaledState,
} from './journal.js';
import { loadWeights, type Weights } from './loader.js';
import { watchMembers } from './member-watch.js';
import {
  clearPrefixCache,
  createPrefixCache,
  exportPrefix,
  storePrefixes,
} from './prefix-cache.js';
import { decideOrder, IDLE_STATE, type FormOrder, type ReplicaState } from './replica-state.js';
import { createEngineRoutes } from './routes.js';
import { resolveSettings, type EngineStandInSettings, type ResolvedSettings } from './settings.js';

/** A running engine stand-in. */
export interface EngineStandIn {
  /** `host:port`. */
  address: string;
  instance: string;
  incarnation: string;
  /** Ends it at once, as a process that dies does. */
  stop: () => Promise<void>;
  journal: () => EngineJournal;
  /** The same as POST /control. */
  control: (change: EngineControl) => void;
}

/** What the HTTP routes of an engine need of it. */
export interface EngineHandlers {
  report(): EngineReport;
  order(order: Order): EngineRefusal | undefined;
  complete(request: EngineRequest, response: ServerResponse): EngineRefusal | undefined;
  cancel: (attempt: string) => void;
  cacheEvents(since: number): CacheEventList;
  exportCache(hash: string): Prefix[] | undefined;
  importCache(prefixes: readonly Prefix[]): void;
  control: (change: EngineControl) => void;
  journal: () => EngineJournal;
}

const RETRY_AFTER_STEPS = 20;

/**
 * Starts an engine; each start has an incarnation of its own. Fails with `unreachable` when the
 * address can't be bound.
 *
 * @example const engine = await createEngineStandIn({ instance: 'engine-1' });
 */
export function createEngineStandIn(
  given: EngineStandInSettings,
): ResultAsync<EngineStandIn, Failure<'unreachable'>> {
  const settings = resolveSettings(given);
  const { handlers, incarnation, end } = createEngine(settings, given.clock ?? createSystemClock());
  return openListener(createEngineRoutes(handlers), settings.listen).map((listener) => ({
    address: listener.address,
    instance: settings.instance,
    incarnation,
    stop: async () => {
      await end();
      await listener.stop();
    },
    journal: handlers.journal,
    control: handlers.control,
  }));
}

function createEngine(settings: ResolvedSettings, clock: Clock) {
  const incarnation = randomUUID();
  const members = createEngineClient();
  const cache = createPrefixCache(settings.cacheTokens);
  const events = createCacheEventLog(
    settings.cacheEventLagMs,
    settings.cacheEventLoss,
    createRandom(settings.seed),
  );
  const attempts: JournaledAttempt[] = [];
  const orders: JournaledOrder[] = [];
  const states: JournaledState[] = [];
  const completions = createCompletions({ settings, clock, cache, events, journal: attempts });
  let held: ReplicaState = IDLE_STATE;
  let leaving = false;
  let { fencing } = settings;
  /** Ends the loading and watching of the replica that it was last ordered into. */
  let formation = new AbortController();
  /** Weights stay in memory until others are loaded. */
  let weights: Weights | undefined;
  let othersJoined = false;

  const change = (next: ReplicaState): void => {
    const moved = next.state !== held.state || next.formed !== held.formed;
    held = next;
    if (!moved) return;
    const replica = held.formed?.replica;
    const fence = held.formed?.fence ?? held.fence;
    journalEntry(states, { at: Date.now(), state: held.state, fence, ...(replica && { replica }) });
  };
  const promote = (): void => {
    if (held.state !== 'loading' || !held.loaded || !held.formed) return;
    // The leader answers for the whole replica: it is not ready before all others are.
    if (held.formed.rank === 0 && !othersJoined) return;
    change({ ...held, state: 'ready' });
  };
  const fail = (): void => {
    if (held.state !== 'loading' && held.state !== 'ready') return;
    formation.abort();
    change({ ...held, state: 'failed' });
    completions.cutAll('replicaLost');
  };
  const form = (order: FormOrder): void => {
    formation = new AbortController();
    othersJoined = order.members.length === 1;
    void load(order, formation.signal);
    if (order.members.length === 1) return;
    const listener = {
      allJoined: (): void => {
        othersJoined = true;
        promote();
      },
      lost: fail,
    };
    void watchMembers(members, order, settings, listener, formation.signal);
  };
  const load = async (order: FormOrder, signal: AbortSignal): Promise<void> => {
    const wanted = { model: order.model, version: order.weights };
    try {
      const held = weights?.model === wanted.model && weights.version === wanted.version;
      if (!held) {
        weights = undefined;
        await loadWeights(settings, wanted, signal);
        weights = wanted;
      }
      await loadWeights(
        { ...settings, weightStore: undefined, loadMs: settings.startMs },
        wanted,
        signal,
      );
    } catch {
      return; // Ordered elsewhere in the meantime.
    }
    change({ ...held, loaded: true });
    promote();
  };
  const leave = (reason: 'released' | 'replicaLost'): void => {
    formation.abort();
    completions.cutAll(reason);
    events.record(clearPrefixCache(cache), clock.now());
  };
  const refuseCompletion = (request: EngineRequest): EngineRefusal | undefined => {
    const { formed } = held;
    if (leaving) return notReady('leaving');
    if (held.state !== 'ready' || formed?.rank !== 0)
      return notReady('not leading a whole replica');
    if (formed.model !== request.model) return notReady(`serving ${formed.model}`);
    const isOther = formed.replica !== request.replica || formed.fence !== request.fence;
    if (isOther && fencing === 'checked')
      return notReady(`in ${formed.replica}, fence ${formed.fence}`);
    if (completions.has(request.attempt))
      return { refusal: 'invalid', reason: 'attempt is running' };
    if (!completions.isFull()) return undefined;
    const retryAfterMs = settings.decodeMsPerToken * RETRY_AFTER_STEPS;
    return { refusal: 'overloaded', reason: 'the queue is full', retryAfterMs };
  };
  const describeLoad = (): EngineLoad => {
    const { figures, ageMs } = completions.load();
    const { batchSize, prefillMsPerToken, decodeMsPerToken } = settings;
    const cacheUse = Math.min(1, cache.used / cache.capacity);
    return { ...figures, batchSize, prefillMsPerToken, decodeMsPerToken, cacheUse, ageMs };
  };

  const handlers: EngineHandlers = {
    report: () => ({
      instance: settings.instance,
      incarnation,
      state: held.state,
      ...(held.formed && { replica: describeReplica(held.formed) }),
      fence: held.fence,
      leaving,
      inFlight: completions.inFlight(),
      ...(held.state === 'ready' && held.formed?.rank === 0 && { load: describeLoad() }),
      adapters: [...held.adapters],
      cacheSequence: events.lastSequence(clock.now()),
    }),
    order: (order) => {
      const decision = decideOrder(held, order, {
        instance: settings.instance,
        incarnation,
        fencing,
      });
      journalEntry(orders, describeOrder(order, decision));
      if (decision.kind === 'refused') return decision.refusal;
      if (decision.effect !== 'none') leave(order.kind === 'release' ? 'released' : 'replicaLost');
      change(decision.next);
      if (decision.effect === 'load' && decision.next.formed) form(decision.next.formed);
      return undefined;
    },
    complete: (request, response) => {
      const refusal = refuseCompletion(request);
      if (!refusal) completions.start(request, response);
      return refusal;
    },
    cancel: completions.cancel,
    cacheEvents: (since) => ({ incarnation, ...events.read(since, clock.now()) }),
    exportCache: (hash) => exportPrefix(cache, hash),
    importCache: (prefixes) => {
      events.record(storePrefixes(cache, prefixes), clock.now());
    },
    control: (change) => {
      leaving = change.leaving ?? leaving;
      fencing = change.fencing ?? fencing;
      if (change.slowFactor !== undefined) completions.setSlowFactor(change.slowFactor);
      completions.addFaults(change.faults ?? []);
    },
    journal: () => ({ instance: settings.instance, incarnation, orders, attempts, states }),
  };
  const end = async (): Promise<void> => {
    formation.abort();
    completions.cutAll('replicaLost');
    await members.close();
  };
  return { handlers, incarnation, end };
}

function describeReplica(formed: FormOrder): NonNullable<EngineReport['replica']> {
  const { replica, fence, model, weights, rank, members } = formed;
  return { id: replica, fence, model, weights, rank, size: members.length };
}

function describeOrder(order: Order, decision: ReturnType<typeof decideOrder>): JournaledOrder {
  const { kind, replica, fence } = order;
  const common = { at: Date.now(), kind, replica, fence };
  if (decision.kind === 'obeyed') {
    return { ...common, outcome: decision.stale ? 'staleObeyed' : 'obeyed' };
  }
  const { refusal, reason } = decision.refusal;
  return { ...common, outcome: 'refused', reason: `${refusal}: ${reason}` };
}

function notReady(reason: string): EngineRefusal {
  return { refusal: 'notReady', reason };
}
