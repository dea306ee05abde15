/**
 * When a change of configuration holds everywhere.
 *
 * The failure guarded against: an operator is told "accepted" while some entry still serves by the
 * older configuration. Every live entry counts: those in the platform's list and those heard
 * lately. An entry of the list that can't be heard is counted as lacking the change until the
 * platform lists it no more or as leaving: a cut-off entry may still be serving callers, and
 * nobody on this side can tell that from an entry that died. Only one that said that it stops is let
 * go before the list has noticed: when it starts again, it catches up before it takes callers.
 */
import type { Fleet, Peer } from '../../board/index.js';
import type { SummaryRecord } from '../membership/gossip.js';

/** What acceptance of `revision` is judged from. */
export interface AcceptanceQuestion {
  revision: number;
  self: { name: string; failureDomain: string; revision: number };
  fleet: Fleet;
  /** Entries heard lately. */
  peers: ReadonlyMap<string, Peer>;
  /** Of failure domains whose entries are not known one by one. */
  summaries: readonly SummaryRecord[];
  /** Entries that said that they stop and are heard no more. */
  departed: ReadonlySet<string>;
}

/** An entry that does not have the change in force, as far as is known here. */
export interface LaggingEntry {
  name: string;
  /** What it last reported; absent when it is not heard. */
  revision?: number;
}

export type Acceptance = { kind: 'accepted' } | { kind: 'pending'; lagging: LaggingEntry[] };

/**
 * Whether `revision` is in force at every live entry, else who lacks it.
 *
 * @example judgeAcceptance({ revision: 12, self, fleet, peers, summaries, departed }).kind
 */
export function judgeAcceptance(question: AcceptanceQuestion): Acceptance {
  const lagging = [...listOwnLag(question), ...listListed(question), ...listHeard(question)];
  lagging.sort((a, b) => (a.name < b.name ? -1 : 1));
  return lagging.length === 0 ? { kind: 'accepted' } : { kind: 'pending', lagging };
}

function listOwnLag({ self, revision }: AcceptanceQuestion): LaggingEntry[] {
  return self.revision >= revision ? [] : [{ name: self.name, revision: self.revision }];
}

function listListed(question: AcceptanceQuestion): LaggingEntry[] {
  const { revision, self, fleet, peers, departed } = question;
  const lagging: LaggingEntry[] = [];
  for (const [name, instance] of fleet.instances) {
    if (instance.role !== 'entry' || name === self.name || peers.has(name)) continue;
    // The balancer sends nobody to a leaving entry, and it can't be asked any more.
    if (instance.state === 'leaving' || departed.has(name)) continue;
    if (findCover(question, instance.failureDomain) !== undefined) continue;
    lagging.push({ name, ...findReported(question, name) });
  }
  return lagging.filter((entry) => entry.revision === undefined || entry.revision < revision);
}

/** The summary that says that all live entries of another failure domain have the change. */
function findCover(question: AcceptanceQuestion, domain: string): SummaryRecord | undefined {
  const { summaries, revision, self } = question;
  if (domain === self.failureDomain) return undefined;
  return summaries.find(
    ({ summary }) => summary.failureDomain === domain && summary.revision >= revision,
  );
}

function findReported({ summaries }: AcceptanceQuestion, name: string): { revision?: number } {
  for (const { summary } of summaries) {
    const found = summary.behind.find((entry) => entry.name === name);
    if (found?.revision !== undefined) return { revision: found.revision };
  }
  return {};
}

function listHeard(question: AcceptanceQuestion): LaggingEntry[] {
  const lagging = [...question.peers.values()].filter((peer) => {
    if (peer.configurationRevision >= question.revision) return false;
    // In a large fleet an entry of another domain is heard by chance; a later summary knows more.
    const cover = findCover(question, peer.failureDomain);
    return cover === undefined || cover.madeAt < peer.heardAt;
  });
  return lagging.map((peer) => ({ name: peer.name, revision: peer.configurationRevision }));
}
