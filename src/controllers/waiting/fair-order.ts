/**
 * Shares the room of one model between workspaces, and leaves some of it to lower priorities.
 *
 * Within a priority, the next request is one of the workspace that was sent the fewest requests
 * recently. One that floods the gateway, or whose callers retry at once, therefore only competes with
 * itself. Strict priorities would serve the lower ones nothing in an overload.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { groupBy } from '../../core/collections/index.js';
import { compareTurns, type WaitingRequest } from './queue-order.js';
import { RecentCounts } from './recent-counts.js';

/**
 * A priority that is served less than this part as often as all requests goes first. Lower priorities
 * are to get at least a quarter; the rest allows for the delay of the measurement.
 */
const MIN_SERVED_FRACTION = 0.35;

/** What recently came and was sent for one model. Mutable; has a single owner. */
export class QueueUsage {
  private readonly sentByWorkspace = new RecentCounts();
  private readonly sentByRank = new RecentCounts();
  private readonly arrivedByRank = new RecentCounts();

  recordArrival(rank: number, now: Milliseconds): void {
    this.arrivedByRank.record(String(rank), now);
  }

  recordSent(workspace: string, rank: number, now: Milliseconds): void {
    this.sentByWorkspace.record(workspace, now);
    this.sentByRank.record(String(rank), now);
  }

  /** Recent sends by workspace. */
  listSent(now: Milliseconds): Map<string, number> {
    return this.sentByWorkspace.list(now);
  }

  /** Whether a workspace was sent more than an equal share of what was sent recently. */
  isOverShare(workspace: string, now: Milliseconds): boolean {
    const sent = this.listSent(now);
    const total = [...sent.values()].reduce((sum, count) => sum + count, 0);
    return sent.size > 1 && (sent.get(workspace) ?? 0) > total / sent.size;
  }

  /** Whether requests of `rank` are served too rarely compared to all. */
  isNeglected(rank: number, now: Milliseconds): boolean {
    const arrived = this.arrivedByRank.list(now);
    const sent = this.sentByRank.list(now);
    const all = sumOf(sent) / Math.max(1, sumOf(arrived));
    const own = sent.get(String(rank)) ?? 0;
    return own < MIN_SERVED_FRACTION * all * (arrived.get(String(rank)) ?? 0);
  }
}

/**
 * Sorts `waiting` by rank, then by the shares of their workspaces, and within a workspace like a queue that
 * is not shared. The first request of a neglected rank goes before all others.
 *
 * Late requests do not go behind the timely ones of other workspaces: callers that retry at once are
 * always timely, and would have the late ones of others refused.
 */
export function orderFairly<Waiting extends WaitingRequest>(
  waiting: Iterable<Waiting>,
  now: Milliseconds,
  usage: QueueUsage,
): Waiting[] {
  const sent = usage.listSent(now);
  const ordered: Waiting[] = [];
  const ranks = groupBy(waiting, ({ rank }) => rank);
  const byRank = [...ranks].sort(([a], [b]) => a - b);
  const reserved: Waiting[] = [];
  for (const [index, [rank, requests]] of byRank.entries()) {
    const turns = takeTurns(requests, now, sent);
    const isFirstRank = index === 0;
    if (!isFirstRank && usage.isNeglected(rank, now)) reserved.push(...turns.splice(0, 1));
    ordered.push(...turns);
  }
  return [...reserved, ...ordered];
}

/** Takes one request after the other from the workspace with the fewest sends; counts them in `sent`. */
function takeTurns<Waiting extends WaitingRequest>(
  requests: readonly Waiting[],
  now: Milliseconds,
  sent: Map<string, number>,
): Waiting[] {
  const lines = [...groupBy(requests, ({ workspace }) => workspace ?? '')].map(
    ([workspace, own]) => ({
      workspace,
      // The next one is last.
      own: own.sort((a, b) => compareTurns(b, a, now)),
    }),
  );
  const turns: Waiting[] = [];
  while (turns.length < requests.length) {
    let next: (typeof lines)[number] | undefined;
    let fewest = Infinity;
    for (const line of lines) {
      const count = sent.get(line.workspace) ?? 0;
      if (line.own.length === 0 || count >= fewest) continue;
      next = line;
      fewest = count;
    }
    const request = next?.own.pop();
    if (next === undefined || request === undefined) break;
    turns.push(request);
    sent.set(next.workspace, fewest + 1);
  }
  return turns;
}

function sumOf(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}
