/**
 * Maintains the `attempts` section of the board: attempts in flight per target, recently sent
 * requests per replica and recent demand per workspace.
 *
 * Writes are rate-limited, except when the draining targets or a count at one of them change.
 * A drain waits for the count to reach zero; a stale count could stop a backend server that still
 * has a request.
 */
import type { Attempts, SentCount, WorkspaceDemand } from '../../board/index.js';
import { isLeaving } from '../../controllers/health/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { EntryContext, Part } from '../types.js';

const WRITE_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;

/** Demand of a workspace in the current period. */
interface WorkspaceCounters {
  requests: number;
  tokens: number;
  concurrentRequests: number;
}

export interface AttemptTracker extends Part {
  /** Current attempts in flight by instance name and replica id. */
  counts: ReadonlyMap<string, number>;
  begin(targets: readonly string[]): void;
  end(targets: readonly string[]): void;
  recordSent(replica: string, promptTokens: number, outputTokens: number): void;
  /** Records a request of `tokens` tokens, whether or not it is admitted. */
  recordDemand(workspace: string, tokens: number): void;
  recordFinished(workspace: string): void;
}

/** Creates the tracker; it writes nothing until it is started. */
export function createAttemptTracker(context: EntryContext): AttemptTracker {
  const { board, writers, clock, settings } = context;
  const periodMs = settings.membership.digestEveryMs;
  const counts = new Map<string, number>();
  const sentCounts = new Map<string, SentCount>();
  const demands = new Map<string, WorkspaceCounters>();
  const cleanups: (() => void)[] = [];
  let draining: ReadonlySet<string> = new Set();
  let hasUnwrittenChanges = false;
  let periodStart = clock.now();
  let lastSent: readonly SentCount[] = [];
  let lastDemands: readonly WorkspaceDemand[] = [];

  function write(): void {
    hasUnwrittenChanges = false;
    const attempts: Attempts = { inFlight: new Map(counts), sent: lastSent, demands: lastDemands };
    writers.attempts.write(attempts);
  }

  function tick(): void {
    const now = clock.now();
    if (now - periodStart >= periodMs) closePeriod(now);
    if (hasUnwrittenChanges) write();
  }

  function closePeriod(now: Milliseconds): void {
    lastSent = [...sentCounts.values()];
    lastDemands = listDemands(demands, now - periodStart);
    sentCounts.clear();
    for (const [workspace, demand] of demands) {
      if (demand.concurrentRequests === 0) demands.delete(workspace);
      else Object.assign(demand, { requests: 0, tokens: 0 });
    }
    periodStart = now;
    hasUnwrittenChanges = true;
  }

  function refreshDraining(): void {
    draining = listDraining(context);
    write();
  }

  function recordChange(targets: readonly string[]): void {
    if (targets.some((target) => draining.has(target))) write();
    else hasUnwrittenChanges = true;
  }

  function getOrCreateDemand(workspace: string): WorkspaceCounters {
    const demand = demands.get(workspace) ?? { requests: 0, tokens: 0, concurrentRequests: 0 };
    demands.set(workspace, demand);
    return demand;
  }

  return {
    counts,
    begin: (targets) => {
      for (const target of targets) counts.set(target, (counts.get(target) ?? 0) + 1);
      recordChange(targets);
    },
    end: (targets) => {
      for (const target of targets) {
        const remaining = (counts.get(target) ?? 1) - 1;
        if (remaining > 0) counts.set(target, remaining);
        else counts.delete(target);
      }
      recordChange(targets);
    },
    recordSent: (replica, promptTokens, outputTokens) => {
      const previous = sentCounts.get(replica);
      sentCounts.set(replica, {
        replica,
        requests: (previous?.requests ?? 0) + 1,
        promptTokens: (previous?.promptTokens ?? 0) + promptTokens,
        outputTokens: (previous?.outputTokens ?? 0) + outputTokens,
      });
    },
    recordDemand: (workspace, tokens) => {
      const demand = getOrCreateDemand(workspace);
      demand.requests += 1;
      demand.tokens += tokens;
      demand.concurrentRequests += 1;
    },
    recordFinished: (workspace) => {
      const demand = getOrCreateDemand(workspace);
      demand.concurrentRequests = Math.max(0, demand.concurrentRequests - 1);
    },
    start: () => {
      refreshDraining();
      const timer = setInterval(tick, WRITE_INTERVAL_MS);
      cleanups.push(
        () => {
          clearInterval(timer);
        },
        board.fleet.subscribe(refreshDraining),
        board.plans.subscribe(refreshDraining),
      );
    },
    stop: () => {
      for (const cleanup of cleanups.splice(0)) cleanup();
      write();
      return Promise.resolve();
    },
  };
}

function listDraining({ board }: EntryContext): ReadonlySet<string> {
  const fleet = board.fleet.read();
  const instances = [...fleet.instances.keys()].filter((name) => isLeaving(fleet, name));
  const replicas = [...board.plans.read().values()].flatMap(({ value }) =>
    value.replicas.filter(({ phase }) => phase === 'draining').map(({ id }) => id),
  );
  return new Set([...instances, ...fleet.leaving, ...replicas]);
}

function listDemands(
  demands: ReadonlyMap<string, WorkspaceCounters>,
  elapsedMs: Milliseconds,
): WorkspaceDemand[] {
  const seconds = elapsedMs / MS_PER_SECOND;
  return [...demands].map(([workspace, { requests, tokens, concurrentRequests }]) => ({
    workspace,
    requestsPerSecond: requests / seconds,
    tokensPerSecond: tokens / seconds,
    concurrentRequests,
  }));
}
