/**
 * Looks at the replicas that are answering requests, and tells when one has lost a member.
 */
import { findLoss, type ServingReplica } from '../../controllers/health/index.js';
import type { EntryContext, Part } from '../types.js';

/** What runs at a replica until it is ended. */
export interface LossWatch extends Part {
  /** Calls `onLoss` at most once, when `serving` has lost a member. Returns the end of the watch. */
  watch(serving: ServingReplica, onLoss: (reason: string) => void): () => void;
}

const LOOK_EVERY_MS = 100;
/** A look that comes later than this means that the process stood still. */
const PAUSED_MS = 500;

interface Watched {
  serving: ServingReplica;
  onLoss: (reason: string) => void;
}

/**
 * The watch of one entry.
 *
 * A process that was paused wakes with reports of long ago, by which every replica would be lost.
 * It shows as a late look; the reports get the time of the freshness bound to come in again.
 */
export function createLossWatch({ board, clock, settings }: EntryContext): LossWatch {
  const { freshMs } = settings.health;
  const watched = new Set<Watched>();
  let timer: NodeJS.Timeout | undefined;
  let lookedAt = clock.now();
  let restsUntil = lookedAt;

  function look(): void {
    const now = clock.now();
    if (now - lookedAt > PAUSED_MS) restsUntil = now + freshMs;
    lookedAt = now;
    if (now < restsUntil || watched.size === 0) return;
    const view = { plans: board.plans.read(), health: board.health.read() };
    const reasons = new Map<string, string | undefined>();
    for (const one of [...watched]) {
      const { serving, onLoss } = one;
      const key = `${serving.replica}/${serving.fence}`;
      if (!reasons.has(key)) reasons.set(key, describe(findLoss(view, serving, now, freshMs)));
      const reason = reasons.get(key);
      if (reason === undefined) continue;
      watched.delete(one);
      onLoss(reason);
    }
  }

  return {
    watch: (serving, onLoss) => {
      const one = { serving, onLoss };
      watched.add(one);
      return () => watched.delete(one);
    },
    start: () => {
      lookedAt = clock.now();
      timer = setInterval(look, LOOK_EVERY_MS);
    },
    stop: () => {
      clearInterval(timer);
      return Promise.resolve();
    },
  };
}

function describe(loss: ReturnType<typeof findLoss>): string | undefined {
  if (loss === undefined) return undefined;
  if (loss.kind === 'phase') return 'the replica was taken apart';
  return `the replica has lost ${loss.member}: ${loss.kind}`;
}
