/**
 * Keeps the `attempts` section: what is in flight where, and what was sent and asked for lately.
 *
 * The section is written at a bounded rate, whatever the number of requests, with two exceptions:
 * a change of who is leaving or draining, and an end at such a target, are written at once. A drain
 * waits for the count to reach none, and a count that is late would let a backend server be stopped
 * under a request that had just been sent to it.
 */
import type { Attempts, SentCount, WorkspaceDemand } from '../../board/index.js';
import { isLeaving } from '../../controllers/health/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { EntryContext, Part } from '../types.js';

const WRITE_EVERY_MS = 100;
const MS_PER_SECOND = 1_000;

/** What a workspace asked for in the current period. */
interface Asked {
  requests: number;
  tokens: number;
  open: number;
}

export interface InFlight extends Part {
  /** By instance and replica id, up to date. */
  counts: ReadonlyMap<string, number>;
  begin(targets: readonly string[]): void;
  end(targets: readonly string[]): void;
  recordSent(replica: string, promptTokens: number, outputTokens: number): void;
  /** A workspace asked for a request of so many tokens, whether or not it was admitted. */
  recordAsked(workspace: string, tokens: number): void;
  recordAnswered(workspace: string): void;
}

/** The keeper of the section; it writes nothing before it is started. */
export function createInFlight(context: EntryContext): InFlight {
  const { board, writers, clock, settings } = context;
  const periodMs = settings.membership.digestEveryMs;
  const counts = new Map<string, number>();
  const sent = new Map<string, SentCount>();
  const asked = new Map<string, Asked>();
  const closers: (() => void)[] = [];
  let draining: ReadonlySet<string> = new Set();
  let changed = false;
  let periodStart = clock.now();
  let lastSent: readonly SentCount[] = [];
  let lastDemands: readonly WorkspaceDemand[] = [];

  function write(): void {
    changed = false;
    const attempts: Attempts = { inFlight: new Map(counts), sent: lastSent, demands: lastDemands };
    writers.attempts.write(attempts);
  }

  function tick(): void {
    const now = clock.now();
    if (now - periodStart >= periodMs) closePeriod(now);
    if (changed) write();
  }

  function closePeriod(now: Milliseconds): void {
    lastSent = [...sent.values()];
    lastDemands = listDemands(asked, now - periodStart);
    sent.clear();
    for (const [workspace, one] of asked) {
      if (one.open === 0) asked.delete(workspace);
      else Object.assign(one, { requests: 0, tokens: 0 });
    }
    periodStart = now;
    changed = true;
  }

  function refreshDraining(): void {
    draining = listDraining(context);
    write();
  }

  function touch(targets: readonly string[]): void {
    if (targets.some((target) => draining.has(target))) write();
    else changed = true;
  }

  function openAsked(workspace: string): Asked {
    const one = asked.get(workspace) ?? { requests: 0, tokens: 0, open: 0 };
    asked.set(workspace, one);
    return one;
  }

  return {
    counts,
    begin: (targets) => {
      for (const target of targets) counts.set(target, (counts.get(target) ?? 0) + 1);
      touch(targets);
    },
    end: (targets) => {
      for (const target of targets) {
        const left = (counts.get(target) ?? 1) - 1;
        if (left > 0) counts.set(target, left);
        else counts.delete(target);
      }
      touch(targets);
    },
    recordSent: (replica, promptTokens, outputTokens) => {
      const one = sent.get(replica);
      sent.set(replica, {
        replica,
        requests: (one?.requests ?? 0) + 1,
        promptTokens: (one?.promptTokens ?? 0) + promptTokens,
        outputTokens: (one?.outputTokens ?? 0) + outputTokens,
      });
    },
    recordAsked: (workspace, tokens) => {
      const one = openAsked(workspace);
      one.requests += 1;
      one.tokens += tokens;
      one.open += 1;
    },
    recordAnswered: (workspace) => {
      const one = openAsked(workspace);
      one.open = Math.max(0, one.open - 1);
    },
    start: () => {
      refreshDraining();
      const timer = setInterval(tick, WRITE_EVERY_MS);
      closers.push(
        () => {
          clearInterval(timer);
        },
        board.fleet.subscribe(refreshDraining),
        board.plans.subscribe(refreshDraining),
      );
    },
    stop: () => {
      for (const close of closers.splice(0)) close();
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

function listDemands(asked: ReadonlyMap<string, Asked>, span: Milliseconds): WorkspaceDemand[] {
  const seconds = span / MS_PER_SECOND;
  return [...asked].map(([workspace, { requests, tokens, open }]) => ({
    workspace,
    requestsPerSecond: requests / seconds,
    tokensPerSecond: tokens / seconds,
    concurrentRequests: open,
  }));
}
