/**
 * A stand-in for the platform's object API, in memory, for tests and development.
 *
 * It speaks the protocol of `adapters/platform` and can be made to fail in the ways of the real
 * one: outages, slow answers, answers lost after their effect, answers from an old copy, a
 * lagging list of instances, and too many calls.
 */
import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import type { ResultAsync } from 'neverthrow';
import { createSystemClock } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import { openListener } from '../listener/index.js';
import { createCallGuard } from './call-guard.js';
import { createCallMeter } from './call-rates.js';
import { createControlRoutes } from './control-routes.js';
import { createControls, type PlatformControls, type StandInParts } from './controls.js';
import { createFaults } from './faults.js';
import { createJournal } from './journal.js';
import { createObjectRoutes } from './object-routes.js';
import { createStore } from './store.js';

interface PlatformStandInOptions {
  /** Where to listen; port 0 takes a free one. */
  address: string;
  /** How long a change of an `instance` stays unseen by readers, in milliseconds. */
  instanceLagMs?: number;
  writesPerSecond?: number;
  readsPerSecond?: number;
  /** Writes kept for GET /control/journal. */
  journalLength?: number;
}

/** A stand-in that listens. */
export interface PlatformStandIn extends PlatformControls {
  /** `host:port`. */
  address: string;
  /** Closes the listener and every connection. */
  stop(): Promise<void>;
}

const DEFAULT_WRITES_PER_SECOND = 400;
const DEFAULT_READS_PER_SECOND = 2_000;
const DEFAULT_JOURNAL_LENGTH = 20_000;

/**
 * Starts a stand-in. Fails with `unreachable` when its address can't be bound.
 *
 * @example const platform = await createPlatformStandIn({ address: '127.0.0.1:0' });
 */
export function createPlatformStandIn(
  options: PlatformStandInOptions,
): ResultAsync<PlatformStandIn, Failure<'unreachable'>> {
  const clock = createSystemClock();
  const faults = createFaults();
  const meter = createCallMeter(
    {
      readsPerSecond: options.readsPerSecond ?? DEFAULT_READS_PER_SECOND,
      writesPerSecond: options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
    },
    clock,
  );
  const guard = createCallGuard(faults, meter);
  const lag = { instanceMs: options.instanceLagMs ?? 0 };
  const store = createStore((kind) => (kind === 'instance' ? lag.instanceMs : 0));
  const wake = (): void => {
    guard.wake();
  };
  store.subscribe(wake);
  const journal = createJournal(options.journalLength ?? DEFAULT_JOURNAL_LENGTH);
  const parts: StandInParts = { store, journal, meter, faults, lag, oldCopy: undefined };

  const controls = createControls(parts, wake);
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.route('/', createControlRoutes(controls));
  app.route('/', createObjectRoutes({ store, view: () => parts.oldCopy ?? store, journal, guard }));
  return openListener(app, options.address).map((listener) => ({ ...listener, ...controls }));
}
