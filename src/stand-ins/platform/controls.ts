/**
 * The switches of the platform stand-in, and what it tells of itself.
 */
import type { ObjectKind, StoredObject } from '../../objects/index.js';
import type { CallCounters, CallMeter } from './call-rates.js';
import type { Faults, PlatformControl } from './faults.js';
import type { Journal, JournalEntry } from './journal.js';
import type { Store, StoreView } from './store.js';

/** What tests do to the stand-in in their own process, or by its control routes from others. */
export interface PlatformControls {
  /** Switches faults on and off; only those named change. */
  control(control: PlatformControl): void;
  counters(): CallCounters;
  journal(): readonly JournalEntry[];
  /** The newest object, past every fault and lag. */
  read(kind: ObjectKind, name: string): StoredObject | undefined;
  /** Writes whatever the version is now, without a call. */
  put(kind: ObjectKind, name: string, value: unknown): StoredObject;
  /** Deletes whatever the version is now, without a call. */
  remove(kind: ObjectKind, name: string): StoredObject;
}

/** What the switches act on. */
export interface StandInParts {
  store: Store;
  journal: Journal;
  meter: CallMeter;
  faults: Faults;
  lag: { instanceMs: number };
  /** Present while answers come from a frozen copy. */
  oldCopy: StoreView | undefined;
  /** Frozen earlier, for when answers are to come from a copy. */
  takenCopy?: StoreView;
}

/** The controls of one stand-in; `wake` is called after each switch. */
export function createControls(parts: StandInParts, wake: () => void): PlatformControls {
  const { store, journal, meter, faults } = parts;
  const overwrite = (
    kind: ObjectKind,
    name: string,
    change: { deleted: boolean; value: unknown },
  ): StoredObject => {
    const expected = store.readNewest(kind, name)?.version ?? 0;
    const nonce = `seed-${store.revision()}`;
    const result = store.write({ kind, name, expected, nonce, ...change });
    if (result.outcome === 'conflict') throw new Error('unreachable: the version was just read');
    journal.record(result.object);
    return result.object;
  };

  const control = (change: PlatformControl): void => {
    const { oldCopy, instanceLagMs, releaseWrites, readsPerSecond, writesPerSecond } = change;
    faults.outage = change.outage ?? faults.outage;
    faults.delayMs = change.delayMs ?? faults.delayMs;
    faults.loseAnswersAfterEffect = change.loseAnswersAfterEffect ?? faults.loseAnswersAfterEffect;
    faults.holdWrites = change.holdWrites ?? faults.holdWrites;
    if (releaseWrites) faults.releases += 1;
    if (change.takeCopy) parts.takenCopy = store.freeze();
    if (oldCopy === true) parts.oldCopy ??= parts.takenCopy ?? store.freeze();
    if (oldCopy === false) parts.oldCopy = undefined;
    parts.lag.instanceMs = instanceLagMs ?? parts.lag.instanceMs;
    if (readsPerSecond !== undefined || writesPerSecond !== undefined) {
      meter.setRates({ readsPerSecond, writesPerSecond });
    }
    wake();
  };

  return {
    control,
    counters: () => ({ ...meter.counters }),
    journal: () => journal.entries(),
    read: (kind, name) => store.readNewest(kind, name),
    put: (kind, name, value) => overwrite(kind, name, { deleted: false, value }),
    remove: (kind, name) => overwrite(kind, name, { deleted: true, value: null }),
  };
}
