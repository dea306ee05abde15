/**
 * One model engine instance, as far as the system can tell from outside.
 */
import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import type { ResultAsync } from 'neverthrow';
import {
  createEngineClient,
  type EngineLoad,
  type EngineRefusal,
  type EngineReport,
  type EngineRequest,
  type Order,
} from '../../adapters/engines/index.js';
import { createSystemClock, type Clock } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import { createRandom } from '../../core/random/index.js';
import { openListener } from '../listener/index.js';
import { refuseCompletion } from './admission.js';
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
import {
  clearPrefixCache,
  createPrefixCache,
  exportPrefix,
  storePrefixes,
} from './prefix-cache.js';
import { describeOrder, describeReplica, describeState } from './descriptions.js';
import { createFormation } from './formation.js';
import type { EngineHandlers } from './handlers.js';
import { decideOrder, IDLE_STATE, promote, type ReplicaState } from './replica-state.js';
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

interface Engine {
  handlers: EngineHandlers;
  incarnation: string;
  end: () => Promise<void>;
}

function createEngine(settings: ResolvedSettings, clock: Clock): Engine {
  const incarnation = randomUUID();
  const { instance, cacheEventLagMs, cacheEventLoss } = settings;
  const members = createEngineClient();
  const cache = createPrefixCache(settings.cacheTokens);
  const events = createCacheEventLog(cacheEventLagMs, cacheEventLoss, createRandom(settings.seed));
  const attempts: JournaledAttempt[] = [];
  const orders: JournaledOrder[] = [];
  const states: JournaledState[] = [];
  const completions = createCompletions({ settings, clock, cache, events, journal: attempts });
  let held: ReplicaState = IDLE_STATE;
  let leaving = false;
  let blind = false;
  let { fencing } = settings;

  const change = (next: ReplicaState): void => {
    const before = held;
    held = promote(next);
    if (held.state === before.state && held.formed === before.formed) return;
    journalEntry(states, describeState(held));
  };
  const formation = createFormation(settings, members, {
    loaded: () => {
      change({ ...held, loaded: true });
    },
    allJoined: () => {
      change({ ...held, othersJoined: true });
    },
    lost: () => {
      if (blind) return;
      if (held.state !== 'loading' && held.state !== 'ready') return;
      // The replica dies as a whole: it answers nothing more until it is formed anew.
      formation.end();
      change({ ...held, state: 'failed' });
      completions.cutAll('replicaLost');
    },
  });
  const leaveReplica = (reason: 'released' | 'replicaLost'): void => {
    formation.end();
    completions.cutAll(reason);
    events.record(clearPrefixCache(cache), clock.now());
  };
  const order = (received: Order): EngineRefusal | undefined => {
    const decision = decideOrder(held, received, { instance, incarnation, fencing });
    journalEntry(orders, describeOrder(received, decision));
    if (decision.kind === 'refused') return decision.refusal;
    if (decision.effect !== 'none')
      leaveReplica(decision.effect === 'cut' ? 'released' : 'replicaLost');
    change(decision.next);
    if (decision.effect === 'load' && decision.next.formed) formation.begin(decision.next.formed);
    return undefined;
  };
  const complete = (
    request: EngineRequest,
    response: ServerResponse,
  ): EngineRefusal | undefined => {
    const running = completions.has(request.attempt);
    const retryAfterMs = settings.decodeMsPerToken * RETRY_AFTER_STEPS;
    const full = completions.isFull();
    const state = { held, leaving, fencing, full, running, retryAfterMs };
    const refusal = refuseCompletion(request, state);
    if (!refusal) completions.start(request, response);
    return refusal;
  };
  const describeLoad = (): EngineLoad => {
    const { figures, ageMs } = completions.load();
    const { batchSize, prefillMsPerToken, decodeMsPerToken } = settings;
    const cacheUse = Math.min(1, cache.used / cache.capacity);
    return { ...figures, batchSize, prefillMsPerToken, decodeMsPerToken, cacheUse, ageMs };
  };
  const report = (): EngineReport => ({
    instance,
    incarnation,
    state: held.state,
    ...(held.formed && { replica: describeReplica(held.formed) }),
    fence: held.fence,
    leaving,
    inFlight: completions.inFlight(),
    ...(held.state === 'ready' && held.formed?.rank === 0 && { load: describeLoad() }),
    adapters: [...held.adapters],
    cacheSequence: events.lastSequence(clock.now()),
  });
  const control = (wanted: EngineControl): void => {
    leaving = wanted.leaving ?? leaving;
    fencing = wanted.fencing ?? fencing;
    blind = wanted.blind ?? blind;
    if (wanted.slowFactor !== undefined) completions.setSlowFactor(wanted.slowFactor);
    completions.addFaults(wanted.faults ?? []);
  };

  return {
    incarnation,
    handlers: {
      report,
      order,
      complete,
      control,
      cancel: completions.cancel,
      cacheEvents: (since) => ({ incarnation, ...events.read(since, clock.now()) }),
      exportCache: (hash) => exportPrefix(cache, hash),
      importCache: (prefixes) => {
        events.record(storePrefixes(cache, prefixes), clock.now());
      },
      journal: () => ({ instance, incarnation, orders, attempts, states }),
    },
    end: async () => {
      formation.end();
      completions.cutAll('replicaLost');
      await members.close();
    },
  };
}
