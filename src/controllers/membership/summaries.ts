/**
 * Summarises a failure domain for entries of other domains, which don't receive the digest of each
 * of its entries in a large fleet.
 */
import type { Fleet, InFlightCount } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { GossipState, PeerRecord } from './gossip.js';
import { MAX_DIGEST_LIST_LENGTH, MAX_SUMMARY_BEHIND, type DomainSummary } from './messages.js';

/** The state of one entry of this entry's own domain. */
interface EntryView {
  name: string;
  /** Undefined if no live digest of the entry is known. */
  revision: number | undefined;
  draining: readonly InFlightCount[];
}

/**
 * Lists the summaries to include in messages: the current one of this entry's own domain, then the
 * latest received of the other domains, newest first.
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

/** Summarises the failure domain of `self` from the live entries and the platform's list. */
export function summariseDomain(
  self: PeerRecord,
  live: readonly PeerRecord[],
  fleet: Fleet,
): DomainSummary {
  const views = listEntryViews(self, live, fleet);
  const newest = Math.max(...views.map((view) => view.revision ?? 0));
  const behind = views.filter((view) => view.revision !== newest);
  behind.sort((a, b) => (a.revision ?? 0) - (b.revision ?? 0));
  return {
    failureDomain: self.content.failureDomain,
    ageMs: 0,
    entries: views.length,
    revision: Math.min(...views.map((view) => view.revision ?? 0)),
    behind: behind.slice(0, MAX_SUMMARY_BEHIND).map(({ name, revision }) => ({
      name,
      ...(revision === undefined ? {} : { revision }),
    })),
    drained: listDrainedTargets(self, views),
  };
}

/** Lists the domain's entries that are listed or live; those only listed have no revision. */
function listEntryViews(self: PeerRecord, live: readonly PeerRecord[], fleet: Fleet): EntryView[] {
  const ownDomain = self.content.failureDomain;
  const views = new Map<string, EntryView>();
  for (const [name, instance] of fleet.instances) {
    if (instance.role !== 'entry' || instance.failureDomain !== ownDomain) continue;
    if (instance.state === 'leaving') continue;
    views.set(name, { name, revision: undefined, draining: [] });
  }
  for (const record of [self, ...live]) {
    const { failureDomain, revision, draining } = record.content;
    if (failureDomain !== ownDomain) continue;
    views.set(record.name, { name: record.name, revision, draining });
  }
  return [...views.values()];
}

function listDrainedTargets(self: PeerRecord, views: readonly EntryView[]): string[] {
  const targets = self.content.draining.map((draining) => draining.target);
  const drained = targets.filter((target) => views.every((view) => hasNoneInFlight(view, target)));
  return drained.slice(0, MAX_DIGEST_LIST_LENGTH);
}

function hasNoneInFlight(view: EntryView, target: string): boolean {
  return view.draining.some((draining) => draining.target === target && draining.count === 0);
}
