/**
 * What peers send to each replica, averaged over some seconds from their digests.
 */
import type { SentCount } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { PEERS_AVERAGE_MS } from './constants.js';
import type { DispatchState, PeerRate } from './state.js';

/** Taken for the span of a digest when the view does not name it. */
const DEFAULT_PERIOD_MS = 500;
const MS_PER_SECOND = 1_000;

/** Takes in peers' counts when they are other ones than last time. */
export function averagePeers(
  state: DispatchState,
  source: readonly SentCount[],
  periodMs: Milliseconds = DEFAULT_PERIOD_MS,
  now: Milliseconds,
): void {
  const { peers } = state;
  if (peers.source === source) return;
  const weight = 1 - Math.exp(-(now - peers.at) / PEERS_AVERAGE_MS);
  peers.source = source;
  peers.at = now;
  for (const [replica, rate] of peers.rates) {
    if (now - rate.seenAt > 4 * PEERS_AVERAGE_MS) peers.rates.delete(replica);
    else scaleRate(rate, 1 - weight);
  }
  for (const count of source)
    addCount(peers.rates, count, weight / (periodMs / MS_PER_SECOND), now);
}

function scaleRate(rate: PeerRate, by: number): void {
  rate.requests *= by;
  rate.promptTokens *= by;
  rate.outputTokens *= by;
}

function addCount(
  rates: Map<string, PeerRate>,
  count: SentCount,
  weight: number,
  now: Milliseconds,
): void {
  const known = rates.get(count.replica);
  const rate = known ?? { requests: 0, promptTokens: 0, outputTokens: 0, seenAt: now };
  rate.requests += count.requests * weight;
  rate.promptTokens += count.promptTokens * weight;
  rate.outputTokens += count.outputTokens * weight;
  rate.seenAt = now;
  rates.set(count.replica, rate);
}
