/**
 * A weight store with a rate limit. It sends no weights: it takes as long as they would.
 *
 *     GET /weights/:model/:version   answers once the bytes would have been transferred
 */
import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import type { ResultAsync } from 'neverthrow';
import { createSystemClock, type Clock } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import { openListener } from '../listener/index.js';
import { advanceShare, nextDone, type FairShare } from './fair-share.js';

/** What a weight store is started with. */
interface WeightStoreSettings {
  /** `host:port`; port 0 takes a free one. Default `127.0.0.1:0`. */
  listen?: string;
  /** For all loads together. */
  bytesPerSecond: number;
  /** Size of the weights of every model, for one instance. */
  bytesPerModel: number;
  clock?: Clock;
}

/** A running weight store. */
export interface WeightStore {
  /** `host:port`. */
  address: string;
  stop: () => Promise<void>;
  /** Loads under way. */
  loading: () => number;
}

/**
 * Starts a weight store. Fails with `unreachable` when the address can't be bound.
 *
 * @example await createWeightStore({ bytesPerSecond: 1e9, bytesPerModel: 5e8 });
 */
export function createWeightStore(
  settings: WeightStoreSettings,
): ResultAsync<WeightStore, Failure<'unreachable'>> {
  const clock = settings.clock ?? createSystemClock();
  const share: FairShare = {
    bytesPerSecond: settings.bytesPerSecond,
    remaining: new Map(),
    updatedAt: clock.now(),
  };
  const waiting = new Map<number, () => void>();
  let loads = 0;
  let timer: NodeJS.Timeout | undefined;

  const settle = (): void => {
    for (const id of advanceShare(share, clock.now())) {
      waiting.get(id)?.();
      waiting.delete(id);
    }
    clearTimeout(timer);
    const next = nextDone(share);
    if (next !== undefined) timer = setTimeout(settle, Math.max(1, next - clock.now()));
  };
  const load = async (signal: AbortSignal): Promise<void> => {
    settle();
    const id = loads++;
    share.remaining.set(id, settings.bytesPerModel);
    const done = new Promise<void>((resolve) => waiting.set(id, resolve));
    // A loader that died gives its part of the rate back to the others.
    signal.addEventListener('abort', () => {
      share.remaining.delete(id);
      waiting.delete(id);
      settle();
    });
    settle();
    await done;
  };

  const app = new Hono<{ Bindings: HttpBindings }>();
  app.get('/weights/:model/:version', async (context) => {
    await load(context.req.raw.signal);
    return context.json({ bytes: settings.bytesPerModel });
  });
  return openListener(app, settings.listen ?? '127.0.0.1:0').map((listener) => ({
    address: listener.address,
    stop: async () => {
      clearTimeout(timer);
      await listener.stop();
    },
    loading: () => share.remaining.size,
  }));
}
