/**
 * Offers calls to the entries at a steady rate and counts what becomes of them.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { build as buildHistogram } from 'hdr-histogram-js';
import type { OnceCall, SendOutcome } from '../../src/controllers/calls/index.js';
import type { MeteredPlatform } from './metered-platform.js';
import type { Way } from './ways.js';

export interface Load {
  perSecond: number;
  seconds: number;
  /** Time that the backend server takes. */
  serviceMs: number;
  answerBytes: number;
  /** Things that happen during the load, in order. */
  events: readonly LoadEvent[];
}

export interface LoadEvent {
  atSeconds: number;
  kind: 'platformDown' | 'platformUp' | 'kill';
}

export interface LoadResult {
  offered: number;
  answered: number;
  refused: number;
  otherwise: number;
  /** Keys that ran more than once. */
  secondRuns: number;
  /** Requests that were told that they were not run, and ran. */
  falseNotRun: number;
  platformCallsPerSecond: number;
  platformCallsPerAnswer: number;
  /** Time that the record adds to an answered call, in ms. */
  addedMs: { p50: number; p99: number; max: number };
  /** Claims without an outcome that the killed entry left; absent when none was killed. */
  unknownAfterKill?: number;
  /** From the platform's return to the first answer of a call offered after it, in ms. */
  recoveryMs?: number;
}

const TICK_MS = 10;
const MS_PER_SECOND = 1_000;
const KILLED_ENTRY = 0;

/** Offers `load` to `way`, round robin over the entries that live. */
export async function offerLoad(
  way: Way,
  platform: MeteredPlatform,
  load: Load,
): Promise<LoadResult> {
  const added = buildHistogram({ numberOfSignificantValueDigits: 3 });
  const runs = new Map<string, number>();
  const counts = { offered: 0, answered: 0, refused: 0, otherwise: 0, falseNotRun: 0 };
  const events = [...load.events];
  const pending = new Set<Promise<void>>();
  let killed = false;
  let upAt: number | undefined;
  let recoveryMs: number | undefined;
  let unknownAfterKill: number | undefined;
  const startedAt = performance.now();
  const callsBefore = platform.calls();

  async function offer(number: number): Promise<void> {
    const key = `key-${number}`;
    const call: OnceCall = { workspace: 'kebun', service: 'passes', key, fingerprint: 'f' };
    const entries = way.calls.filter((_, entry) => !killed || entry !== KILLED_ENTRY);
    const begunAt = performance.now();
    let serviceMs = 0;
    const send = async (): Promise<SendOutcome> => {
      const sentAt = performance.now();
      runs.set(key, (runs.get(key) ?? 0) + 1);
      await sleep(load.serviceMs);
      serviceMs = performance.now() - sentAt;
      const body = new Uint8Array(load.answerBytes);
      return { kind: 'answered', answer: { status: 201, headers: [], body } };
    };
    const outcome = await entries[number % entries.length]?.run(call, send);
    const endedAt = performance.now();
    if (outcome?.kind === 'answered') {
      counts.answered += 1;
      added.recordValue(Math.max(0, Math.round((endedAt - begunAt - serviceMs) * MS_PER_SECOND)));
      if (upAt !== undefined && begunAt >= upAt) recoveryMs ??= endedAt - upAt;
    } else if (outcome?.failure.kind === 'recordUnavailable') {
      counts.refused += 1;
      if (runs.has(key)) counts.falseNotRun += 1;
    } else {
      counts.otherwise += 1;
    }
  }

  function happen(event: LoadEvent): void {
    switch (event.kind) {
      case 'platformDown':
        platform.setDown(true);
        return;
      case 'platformUp':
        platform.setDown(false);
        upAt = performance.now();
        return;
      case 'kill':
        killed = true;
        unknownAfterKill = way.countOpenClaims(KILLED_ENTRY);
        way.kill(KILLED_ENTRY);
    }
  }

  while (performance.now() - startedAt < load.seconds * MS_PER_SECOND) {
    const elapsed = performance.now() - startedAt;
    while (events[0] && events[0].atSeconds * MS_PER_SECOND <= elapsed) {
      const event = events.shift();
      if (event) happen(event);
    }
    const due = Math.floor((elapsed / MS_PER_SECOND) * load.perSecond);
    while (counts.offered < due) {
      const task = offer(counts.offered);
      counts.offered += 1;
      pending.add(task);
      void task.finally(() => pending.delete(task));
    }
    await sleep(TICK_MS);
  }
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const calls = platform.calls() - callsBefore;
  // Requests at an entry that was killed have no end.
  await Promise.race([Promise.all(pending), sleep(2 * MS_PER_SECOND)]);
  const toMs = (value: number): number => value / MS_PER_SECOND;
  return {
    ...counts,
    secondRuns: [...runs.values()].filter((count) => count > 1).length,
    platformCallsPerSecond: Math.round(calls / seconds),
    platformCallsPerAnswer: Number((calls / Math.max(1, counts.answered)).toFixed(3)),
    addedMs: {
      p50: toMs(added.getValueAtPercentile(50)),
      p99: toMs(added.getValueAtPercentile(99)),
      max: toMs(added.maxValue),
    },
    ...(unknownAfterKill !== undefined && { unknownAfterKill }),
    ...(recoveryMs !== undefined && { recoveryMs: Math.round(recoveryMs) }),
  };
}
