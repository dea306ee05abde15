/**
 * Determines when a configuration change is in force on every live entry.
 *
 * Prevents "accepted" from being reported while some entry still serves with an older configuration.
 * An entry that is listed but unreachable counts as lagging until the platform removes it or lists
 * it as leaving, because it may be isolated and still serving callers. An entry that has announced
 * its stop doesn't count: after a restart it catches up before it serves callers.
 */
import type { Fleet, Peer } from '../../board/index.js';
import type { SummaryRecord } from '../membership/gossip.js';

/** The information from which acceptance of `revision` is determined. */
export interface AcceptanceInput {
  revision: number;
  self: { name: string; failureDomain: string; revision: number };
  fleet: Fleet;
  /** Entries heard recently. */
  peers: ReadonlyMap<string, Peer>;
  /** Summaries of failure domains whose entries are not known individually. */
  summaries: readonly SummaryRecord[];
  /** Entries that announced their stop and are no longer heard. */
  departed: ReadonlySet<string>;
}

/** An entry on which, as far as this entry knows, the change is not in force. */
export interface LaggingEntry {
  name: string;
  /** The last reported revision; absent if the entry is not heard. */
  revision?: number;
}

export type Acceptance = { kind: 'accepted' } | { kind: 'pending'; lagging: LaggingEntry[] };

/**
 * Returns whether `revision` is in force on every live entry, or else which entries are lagging.
 *
 * @example evaluateAcceptance({ revision: 12, self, fleet, peers, summaries, departed }).kind
 */
export function evaluateAcceptance(input: AcceptanceInput): Acceptance {
  const lagging = [
    ...findLaggingSelf(input),
    ...findLaggingListed(input),
    ...findLaggingPeers(input),
  ];
  lagging.sort((a, b) => (a.name < b.name ? -1 : 1));
  return lagging.length === 0 ? { kind: 'accepted' } : { kind: 'pending', lagging };
}

function findLaggingSelf({ self, revision }: AcceptanceInput): LaggingEntry[] {
  return self.revision >= revision ? [] : [{ name: self.name, revision: self.revision }];
}

function findLaggingListed(input: AcceptanceInput): LaggingEntry[] {
  const { revision, self, fleet, peers, departed } = input;
  const lagging: LaggingEntry[] = [];
  for (const [name, instance] of fleet.instances) {
    if (instance.role !== 'entry' || name === self.name || peers.has(name)) continue;
    // The balancer sends no callers to a leaving entry, and the entry can't be reached any more.
    if (instance.state === 'leaving' || departed.has(name)) continue;
    if (findCoveringSummary(input, instance.failureDomain) !== undefined) continue;
    lagging.push({ name, ...findReportedRevision(input, name) });
  }
  return lagging.filter((entry) => entry.revision === undefined || entry.revision < revision);
}

/** Finds a summary showing that all live entries of another failure domain have the change. */
function findCoveringSummary(
  input: AcceptanceInput,
  failureDomain: string,
): SummaryRecord | undefined {
  const { summaries, revision, self } = input;
  if (failureDomain === self.failureDomain) return undefined;
  return summaries.find(
    ({ summary }) => summary.failureDomain === failureDomain && summary.revision >= revision,
  );
}

function findReportedRevision({ summaries }: AcceptanceInput, name: string): { revision?: number } {
  for (const { summary } of summaries) {
    const lagging = summary.behind.find((entry) => entry.name === name);
    if (lagging?.revision !== undefined) return { revision: lagging.revision };
  }
  return {};
}

function findLaggingPeers(input: AcceptanceInput): LaggingEntry[] {
  const lagging = [...input.peers.values()].filter((peer) => {
    if (peer.configurationRevision >= input.revision) return false;
    // Entries of other domains are heard only occasionally in a large fleet, so a later summary wins.
    const record = findCoveringSummary(input, peer.failureDomain);
    return record === undefined || record.madeAt < peer.heardAt;
  });
  return lagging.map((peer) => ({ name: peer.name, revision: peer.configurationRevision }));
}
