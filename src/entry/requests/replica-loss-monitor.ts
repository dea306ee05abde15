/**
 * Monitors replicas that are serving requests and detects the loss of a member.
 */
import { findReplicaLoss, type ServingReplica } from '../../controllers/health/index.js';
import type { EntryContext, Part } from '../types.js';

export interface ReplicaLossMonitor extends Part {
  /** Calls `onLoss` at most once, if `serving` loses a member. Returns an unsubscribe function. */
  watch(serving: ServingReplica, onLoss: (reason: string) => void): () => void;
}

const CHECK_INTERVAL_MS = 100;
/** A longer gap between two checks means that the process was paused. */
const PAUSE_THRESHOLD_MS = 500;

interface ReplicaWatch {
  serving: ServingReplica;
  onLoss: (reason: string) => void;
}

/**
 * Creates the monitor of an entry.
 *
 * After a process pause all health reports are stale and every replica would appear lost. Checks
 * are therefore suspended for the freshness period, so that new reports can arrive.
 */
export function createReplicaLossMonitor({
  board,
  clock,
  settings,
}: EntryContext): ReplicaLossMonitor {
  const { freshMs } = settings.health;
  const watches = new Set<ReplicaWatch>();
  let timer: NodeJS.Timeout | undefined;
  let lastCheckAt = clock.now();
  let suspendedUntil = lastCheckAt;

  function checkReplicas(): void {
    const now = clock.now();
    if (now - lastCheckAt > PAUSE_THRESHOLD_MS) suspendedUntil = now + freshMs;
    lastCheckAt = now;
    if (now < suspendedUntil || watches.size === 0) return;
    const view = { plans: board.plans.read(), health: board.health.read() };
    const reasons = new Map<string, string | undefined>();
    for (const watch of [...watches]) {
      const { serving, onLoss } = watch;
      const key = `${serving.replica}/${serving.fence}`;
      if (!reasons.has(key))
        reasons.set(key, describeLoss(findReplicaLoss(view, serving, now, freshMs)));
      const reason = reasons.get(key);
      if (reason === undefined) continue;
      watches.delete(watch);
      onLoss(reason);
    }
  }

  return {
    watch: (serving, onLoss) => {
      const watch = { serving, onLoss };
      watches.add(watch);
      return () => watches.delete(watch);
    },
    start: () => {
      lastCheckAt = clock.now();
      timer = setInterval(checkReplicas, CHECK_INTERVAL_MS);
    },
    stop: () => {
      clearInterval(timer);
      return Promise.resolve();
    },
  };
}

function describeLoss(loss: ReturnType<typeof findReplicaLoss>): string | undefined {
  if (loss === undefined) return undefined;
  if (loss.kind === 'phase') return 'the replica was taken apart';
  return `the replica has lost ${loss.member}: ${loss.kind}`;
}
