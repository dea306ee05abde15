/**
 * Whether this entry's configuration is good enough to be given callers.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** What readiness is judged from. Instants that never came are negative infinity. */
export interface ReadinessQuestion {
  startedAt: Milliseconds;
  /** When the platform last confirmed the configuration. */
  platformAt: Milliseconds;
  /** When any other entry was last heard. */
  peerAt: Milliseconds;
  /** An entry that was ready was heard, and what it had in force is in force here. */
  caughtUp: boolean;
  /** Other entries are known, from the settings or the platform's list. */
  hasPeers: boolean;
  revision: number;
  /** Without word from platform and peers for longer, the entry is cut off. */
  isolationMs: Milliseconds;
  /** How long a starting entry waits for a ready peer when the platform has answered. */
  startupMs: Milliseconds;
}

export type Readiness = { kind: 'ready' } | { kind: 'notReady'; reason: string };

/**
 * Readiness as far as configuration goes.
 *
 * Two failures are guarded against. A starting entry that reads an old copy of the platform would
 * bring an older configuration back to the callers it is given: so it first catches up with a peer
 * that is ready, and takes the platform's word alone only when no peer answers. An entry that hears
 * nobody may be serving by a configuration that has been replaced: so it asks the balancer to take
 * its callers elsewhere.
 */
export function judgeReadiness(question: ReadinessQuestion, now: Milliseconds): Readiness {
  const { platformAt, peerAt, revision, caughtUp, hasPeers } = question;
  const hasAnswer = platformAt > Number.NEGATIVE_INFINITY;
  if (!hasAnswer && revision === 0) return refuse('it has no configuration yet');
  const mayStartAlone = hasAnswer && (!hasPeers || now - question.startedAt >= question.startupMs);
  if (!caughtUp && !mayStartAlone) return refuse('it has not caught up with another entry yet');
  if (now - Math.max(platformAt, peerAt) > question.isolationMs) {
    return refuse('it hears neither the platform nor any other entry');
  }
  return { kind: 'ready' };
}

function refuse(reason: string): Readiness {
  return { kind: 'notReady', reason };
}

/** Of the isolation bound, the part after which silence is broken by a call to the platform. */
const PROBE_FRACTION = 1 / 3;

/**
 * Whether the platform has to be asked now, though its watch is waiting: nothing was heard for a
 * while, and a waiting watch does not tell whether the platform is still there.
 */
export function shouldProbePlatform(
  heardAt: Milliseconds,
  isolationMs: Milliseconds,
  now: Milliseconds,
): boolean {
  return now - heardAt > isolationMs * PROBE_FRACTION;
}
