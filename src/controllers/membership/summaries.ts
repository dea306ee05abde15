/**
 * A failure domain in a few lines, for entries of other domains that can't hear of each of its
 * entries in a large fleet.
 */
import type { Fleet, InFlightCount } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { GossipState, PeerRecord } from './gossip.js';
import { DIGEST_LIST_LENGTH, SUMMARY_NAMES, type DomainSummary } from './messages.js';

/** What is known of one live entry of the own domain. */
interface EntryView {
  name: string;
  /** Undefined when it is not heard. */
  revision: number | undefined;
  draining: readonly InFlightCount[];
}

/**
 * The summaries that go into messages: this entry's own domain as it sees it now, and the last
 * summaries received of the others, latest first.
 */
export function listSummaries(
  state: GossipState,
  live: readonly PeerRecord[],
  fleet: Fleet,
  now: Milliseconds,
): DomainSummary[] {
  const others = [...state.summaries.values()].map(({ summary, madeAt }) => ({
    ...summary,
    ageMs: Math.round(now - madeAt),
  }));
  others.sort((a, b) => a.ageMs - b.ageMs);
  return [summariseDomain(state.self, live, fleet), ...others];
}

/** The failure domain of `self` as it sees it, with the entries heard lately. */
export function summariseDomain(
  self: PeerRecord,
  live: readonly PeerRecord[],
  fleet: Fleet,
): DomainSummary {
  const views = listViews(self, live, fleet);
  const newest = Math.max(...views.map((view) => view.revision ?? 0));
  const behind = views.filter((view) => view.revision !== newest);
  behind.sort((a, b) => (a.revision ?? 0) - (b.revision ?? 0));
  return {
    failureDomain: self.content.failureDomain,
    ageMs: 0,
    entries: views.length,
    revision: Math.min(...views.map((view) => view.revision ?? 0)),
    behind: behind.slice(0, SUMMARY_NAMES).map(({ name, revision }) => ({
      name,
      ...(revision === undefined ? {} : { revision }),
    })),
    drained: listDrained(self, views),
  };
}

/** Every entry of the domain that is listed or heard; one that is only listed counts as lacking. */
function listViews(self: PeerRecord, live: readonly PeerRecord[], fleet: Fleet): EntryView[] {
  const own = self.content.failureDomain;
  const views = new Map<string, EntryView>();
  for (const [name, instance] of fleet.instances) {
    if (instance.role !== 'entry' || instance.failureDomain !== own) continue;
    if (instance.state === 'leaving') continue;
    views.set(name, { name, revision: undefined, draining: [] });
  }
  for (const record of [self, ...live]) {
    const { failureDomain, revision, draining } = record.content;
    if (failureDomain !== own) continue;
    views.set(record.name, { name: record.name, revision, draining });
  }
  return [...views.values()];
}

function listDrained(self: PeerRecord, views: readonly EntryView[]): string[] {
  const targets = self.content.draining.map((draining) => draining.target);
  const drained = targets.filter((target) => views.every((view) => hasNone(view, target)));
  return drained.slice(0, DIGEST_LIST_LENGTH);
}

function hasNone(view: EntryView, target: string): boolean {
  return view.draining.some((draining) => draining.target === target && draining.count === 0);
}
