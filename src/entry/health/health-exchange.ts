/**
 * Exchanges health reports with the other entries as an extension of the digests.
 */
import type { InstanceHealth, ReplicaLoad } from '../../board/index.js';
import {
  composeHealthDigest,
  healthDigestSchema,
  readHealthDigest,
  type HealthDigest,
} from '../../controllers/health/index.js';
import { MAX_EXTENSION_LENGTH } from '../../controllers/membership/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { parseJson } from '../../core/json/index.js';
import type { DigestExtension } from '../membership/index.js';
import type { EntryContext } from '../types.js';

/** What the exchange uses of the health part. */
interface HealthExchangeDependencies {
  readHealth: (instance: string) => InstanceHealth | undefined;
  readAssigned(): Iterable<string>;
  /** Instances that this entry saw fail, with no good report or answer since. */
  readFailing(): Iterable<string>;
  /** Stores what a peer reported. */
  storeReports(
    health: ReadonlyMap<string, InstanceHealth>,
    load: ReadonlyMap<string, ReplicaLoad>,
    failing: readonly string[],
  ): void;
}

/** The `health` extension of the digests. */
export interface HealthExchange extends DigestExtension {
  /** Call on every tick: a long gap between two ticks means that the process was paused. */
  noteTick(): void;
  /** Whether the process was paused at some point after `since`. */
  hasPausedSince(since: Milliseconds): boolean;
  /** Sends failures to peers without waiting for the next regular round. */
  announce(): void;
}

/** The last digest of a peer, cached by its text to avoid parsing an unchanged digest again. */
interface KnownDigest {
  text: string;
  digest: HealthDigest;
}

/** Only reports younger than this many probe intervals are sent to peers. */
const RELAY_WINDOW_PROBES = 1.5;
/** Added to the age of every digest to account for its time in transit. */
const TRANSIT_ALLOWANCE_MS = 200;
/**
 * A tick later than this means that the process was paused. Digests read before the next tick may
 * have waited in a socket and only look fresh, so their health data is ignored.
 */
const PAUSE_THRESHOLD_MS = 500;

/** Creates the health exchange of one entry. */
export function createHealthExchange(
  context: EntryContext,
  dependencies: HealthExchangeDependencies,
): HealthExchange {
  const { board, clock, settings } = context;
  const relayWindowMs = settings.health.probeEveryMs * RELAY_WINDOW_PROBES;
  const peerDigests = new Map<string, KnownDigest>();
  const listeners = new Set<() => void>();
  let lastTickAt = clock.now();
  let lastResumedAt = Number.NEGATIVE_INFINITY;

  const announce = (): void => {
    for (const listener of [...listeners]) listener();
  };

  const isTickOverdue = (now: Milliseconds): boolean => now - lastTickAt > PAUSE_THRESHOLD_MS;

  function importText(peer: string, text: string, ageMs: Milliseconds): void {
    const now = clock.now();
    if (isTickOverdue(now)) return;
    const previous = peerDigests.get(peer);
    const digest = previous?.text === text ? previous.digest : parseDigest(text);
    if (digest === undefined) return;
    peerDigests.set(peer, { text, digest });
    const failedBefore = new Set(previous?.digest.failing);
    const received = { digest, failedBefore, ageMs: ageMs + TRANSIT_ALLOWANCE_MS };
    const view = { plans: board.plans.read(), readHealth: dependencies.readHealth };
    const update = readHealthDigest(view, received, now);
    dependencies.storeReports(update.health, update.load, update.failing);
    // Relays the failures to entries that the peer does not reach itself.
    if (update.failing.length > 0) announce();
  }

  return {
    name: 'health',
    export: () => {
      const source = {
        plans: board.plans.read(),
        health: board.health.read(),
        assigned: dependencies.readAssigned(),
        failing: dependencies.readFailing(),
        withinMs: relayWindowMs,
        textLength: MAX_EXTENSION_LENGTH,
      };
      return JSON.stringify(composeHealthDigest(source, clock.now()));
    },
    import: importText,
    onUrgentChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    announce,
    hasPausedSince: (since) => lastResumedAt >= since || isTickOverdue(clock.now()),
    noteTick: () => {
      const now = clock.now();
      if (isTickOverdue(now)) lastResumedAt = now;
      lastTickAt = now;
      const peers = board.peers.read();
      for (const peer of peerDigests.keys()) if (!peers.has(peer)) peerDigests.delete(peer);
    },
  };
}

function parseDigest(text: string): HealthDigest | undefined {
  return healthDigestSchema.safeParse(parseJson(text)).data;
}
