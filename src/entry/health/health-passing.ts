/**
 * Exchanges reports with the other entries, as a part of the digests.
 */
import type { InstanceHealth, ReplicaLoad } from '../../board/index.js';
import {
  composeHealthDigest,
  healthDigestSchema,
  readHealthDigest,
  type HealthDigest,
} from '../../controllers/health/index.js';
import { EXTENSION_LENGTH } from '../../controllers/membership/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { parseJson } from '../../core/json/index.js';
import type { DigestExtension } from '../membership/index.js';
import type { EntryContext } from '../types.js';

/** What the health part lends to the exchange. */
interface PassingParts {
  readHealth: (instance: string) => InstanceHealth | undefined;
  readAssigned(): Iterable<string>;
  /** Instances that failed here and were not heard well since. */
  readFailing(): Iterable<string>;
  keep(
    health: ReadonlyMap<string, InstanceHealth>,
    load: ReadonlyMap<string, ReplicaLoad>,
    failing: readonly string[],
  ): void;
}

/** The `health` extension of the digests. */
export interface HealthPassing extends DigestExtension {
  /** Call at every tick of the part: a long gap between two means that the process stood still. */
  noteTick(): void;
  /** Whether the process stood still at some time after `since`. */
  hasPausedSince(since: Milliseconds): boolean;
  /** Tells the others of a failure without waiting for the next round. */
  announce(): void;
}

/** The last digest of a peer; its text is the same as long as nothing changes at the engines. */
interface KnownDigest {
  text: string;
  digest: HealthDigest;
}

/** What is passed on was heard within this many probe intervals. */
const WITHIN_PROBES = 1.5;
/** Added to the age of every digest for the time that it was under way. */
const TRANSIT_MS = 200;
/**
 * A digest that waited in a socket while the process was paused looks fresh when it is read. It
 * shows as a tick that is overdue, since digests are read before the timers run again; what such a
 * digest says of health is not taken.
 */
const PAUSED_MS = 500;

/** The exchange of one entry. */
export function createHealthPassing(context: EntryContext, parts: PassingParts): HealthPassing {
  const { board, clock, settings } = context;
  const withinMs = settings.health.probeEveryMs * WITHIN_PROBES;
  const known = new Map<string, KnownDigest>();
  const listeners = new Set<() => void>();
  let tickedAt = clock.now();
  let wokeAt = Number.NEGATIVE_INFINITY;

  const announce = (): void => {
    for (const listener of [...listeners]) listener();
  };

  const isOverdue = (now: Milliseconds): boolean => now - tickedAt > PAUSED_MS;

  function importText(peer: string, text: string, ageMs: Milliseconds): void {
    const now = clock.now();
    if (isOverdue(now)) return;
    const before = known.get(peer);
    const digest = before?.text === text ? before.digest : readText(text);
    if (digest === undefined) return;
    known.set(peer, { text, digest });
    const failedBefore = new Set(before?.digest.failing);
    const passed = { digest, failedBefore, ageMs: ageMs + TRANSIT_MS };
    const view = { plans: board.plans.read(), readHealth: parts.readHealth };
    const news = readHealthDigest(view, passed, now);
    parts.keep(news.health, news.load, news.failing);
    // The peer's digest goes on to those that it does not reach itself.
    if (news.failing.length > 0) announce();
  }

  return {
    name: 'health',
    export: () => {
      const source = {
        plans: board.plans.read(),
        health: board.health.read(),
        assigned: parts.readAssigned(),
        failing: parts.readFailing(),
        withinMs,
        textLength: EXTENSION_LENGTH,
      };
      return JSON.stringify(composeHealthDigest(source, clock.now()));
    },
    import: importText,
    onUrgentChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    announce,
    hasPausedSince: (since) => wokeAt >= since || isOverdue(clock.now()),
    noteTick: () => {
      const now = clock.now();
      if (isOverdue(now)) wokeAt = now;
      tickedAt = now;
      const peers = board.peers.read();
      for (const peer of known.keys()) if (!peers.has(peer)) known.delete(peer);
    },
  };
}

function readText(text: string): HealthDigest | undefined {
  return healthDigestSchema.safeParse(parseJson(text)).data;
}
