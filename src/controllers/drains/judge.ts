/**
 * When a draining target may be told to stop without cutting off a request.
 *
 * The failure guarded against: an entry that has not heard of the drain sends one more request
 * while the target is being stopped, and the caller's answer breaks off. It would show as a target
 * that was idle when looked at and busy when stopped. Each entry names a target in its digest only
 * from the moment when it sends nothing more there, so a named count of zero can't grow again, and
 * an entry that does not name the target holds the stop up.
 */
import type { Peer } from '../../board/index.js';
import type { DrainEntry, DrainHolder, DrainJudgement, DrainQuestion } from './types.js';

/**
 * Whether every entry and the target itself have reported none in flight.
 *
 * `reported` has to be read from the target after the entries were found to have none: a request
 * that was sent but not yet received counts at its entry, so nothing is missed between the two.
 *
 * @example if (judgeDrain(question).kind === 'safe') release(question.target);
 */
export function judgeDrain(question: DrainQuestion): DrainJudgement {
  const holders = [...listOwn(question), ...listEntries(question), ...listTarget(question)];
  return holders.length === 0 ? { kind: 'safe' } : { kind: 'waiting', holders };
}

function listOwn({ self }: DrainQuestion): DrainHolder[] {
  if (self.inFlight === 0) return [];
  return [{ kind: 'inFlight', entry: self.name, count: self.inFlight }];
}

function listEntries(question: DrainQuestion): DrainHolder[] {
  const drained = new Set(
    question.summaries
      .filter(({ summary }) => summary.drained.includes(question.target))
      .map(({ summary }) => summary.failureDomain),
  );
  return question.entries.flatMap((entry) => {
    if (entry.name === question.self.name) return [];
    return judgeEntry(question, entry, drained.has(entry.failureDomain));
  });
}

function judgeEntry(
  { target, peers }: DrainQuestion,
  entry: DrainEntry,
  isDomainDrained: boolean,
): DrainHolder[] {
  const count = findCount(peers.get(entry.name), target);
  if (count === 0 || (count === undefined && isDomainDrained)) return [];
  if (count === undefined) return [{ kind: 'unconfirmed', entry: entry.name }];
  return [{ kind: 'inFlight', entry: entry.name, count }];
}

function findCount(peer: Peer | undefined, target: string): number | undefined {
  return peer?.draining.find((draining) => draining.target === target)?.count;
}

function listTarget({ reported }: DrainQuestion): DrainHolder[] {
  if (reported === 0) return [];
  return [reported === undefined ? { kind: 'target' } : { kind: 'target', count: reported }];
}
