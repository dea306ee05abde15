/**
 * Determines when a draining target can be stopped without interrupting a request.
 *
 * An entry that doesn't know about the drain could send another request while the target stops. Each
 * entry lists a target in its digest only once it sends nothing more there, so a count of zero is
 * final, and an entry that doesn't list the target delays the stop.
 */
import type { Peer } from '../../board/index.js';
import type { DrainEntry, DrainBlocker, DrainEvaluation, DrainInput } from './types.js';

/**
 * Returns whether all entries and the target have reported that no requests are in flight, or else
 * what blocks the stop.
 *
 * `reported` must be read from the target after the entries have reported zero: until the target has
 * received a request, only the entry that sent it counts it.
 *
 * @example if (evaluateDrain(input).kind === 'safe') release(input.target);
 */
export function evaluateDrain(input: DrainInput): DrainEvaluation {
  const holders = [
    ...findOwnBlockers(input),
    ...findEntryBlockers(input),
    ...findTargetBlockers(input),
  ];
  return holders.length === 0 ? { kind: 'safe' } : { kind: 'waiting', holders };
}

function findOwnBlockers({ self }: DrainInput): DrainBlocker[] {
  if (self.inFlight === 0) return [];
  return [{ kind: 'inFlight', entry: self.name, count: self.inFlight }];
}

function findEntryBlockers(input: DrainInput): DrainBlocker[] {
  const drainedDomains = new Set(
    input.summaries
      .filter(({ summary }) => summary.drained.includes(input.target))
      .map(({ summary }) => summary.failureDomain),
  );
  return input.entries.flatMap((entry) => {
    if (entry.name === input.self.name) return [];
    return checkEntry(input, entry, drainedDomains.has(entry.failureDomain));
  });
}

function checkEntry(
  { target, peers }: DrainInput,
  entry: DrainEntry,
  isDomainDrained: boolean,
): DrainBlocker[] {
  const count = findInFlightCount(peers.get(entry.name), target);
  if (count === 0 || (count === undefined && isDomainDrained)) return [];
  if (count === undefined) return [{ kind: 'unconfirmed', entry: entry.name }];
  return [{ kind: 'inFlight', entry: entry.name, count }];
}

function findInFlightCount(peer: Peer | undefined, target: string): number | undefined {
  return peer?.draining.find((draining) => draining.target === target)?.count;
}

function findTargetBlockers({ reported }: DrainInput): DrainBlocker[] {
  if (reported === 0) return [];
  return [reported === undefined ? { kind: 'target' } : { kind: 'target', count: reported }];
}
