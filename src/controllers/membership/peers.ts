/**
 * What the gossip says of the other entries, for the board and for pulling configuration.
 */
import type { Peer, Peers } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import type { GossipState, PeerRecord } from './gossip.js';

/** Peers that must hold this entry's stopping digest before it may rely on gossip for the rest. */
const INFORMED_PEERS = 2;

/** The `peers` section: entries heard within `forgetMs`. */
export function listPeers(state: GossipState, forgetMs: Milliseconds, now: Milliseconds): Peers {
  const live = listLive(state, forgetMs, now);
  return new Map(live.map((record) => [record.name, describePeer(record)] as const));
}

/** Entries heard within `forgetMs`. */
export function listLive(
  state: GossipState,
  forgetMs: Milliseconds,
  now: Milliseconds,
): PeerRecord[] {
  return [...state.peers.values()].filter((record) => now - record.heardAt <= forgetMs);
}

/** Entries that said that they stop and have not been heard for `forgetMs`. */
export function listDeparted(
  state: GossipState,
  forgetMs: Milliseconds,
  now: Milliseconds,
): ReadonlySet<string> {
  const departed = [...state.peers.values()].filter(
    (record) => record.content.stopping && now - record.heardAt > forgetMs,
  );
  return new Set(departed.map((record) => record.name));
}

function describePeer({ name, incarnation, content, heardAt }: PeerRecord): Peer {
  return {
    name,
    incarnation,
    address: content.peerAddress,
    failureDomain: content.failureDomain,
    heardAt,
    configurationRevision: content.revision,
    platform: content.platform,
    ready: content.ready,
    stopping: content.stopping,
    draining: content.draining,
    sent: content.sent,
    demands: content.demands,
  };
}

/** What is missing here, and who was heard. */
export interface PullQuestion {
  live: readonly PeerRecord[];
  /** The configuration revision in force here. */
  revision: number;
  /** The newest object version held here. */
  newest: number;
  /** Any peer that is ready has something that is missing here. */
  needsPeer: boolean;
  /** Who has just been heard. */
  heard: string;
}

/**
 * The peer to ask for configuration that is missing here: who has just been heard first, else any
 * that has more; undefined when nobody has.
 */
export function choosePullSource(question: PullQuestion, random: Random): PeerRecord | undefined {
  const { live, revision, newest, needsPeer, heard } = question;
  const ahead = live.filter(
    ({ content }) =>
      content.revision > revision || (content.newest ?? 0) > newest || (needsPeer && content.ready),
  );
  const direct = ahead.find((record) => record.name === heard);
  if (direct !== undefined || ahead.length === 0) return direct;
  return ahead[random.below(ahead.length)];
}

/**
 * Whether a peer that is ready has been heard and nothing that ready peers have in force is
 * missing here.
 */
export function hasCaughtUp(
  live: readonly PeerRecord[],
  revision: number,
  newest: number,
): boolean {
  const ready = live.filter((record) => record.content.ready);
  const isBehind = ready.some(
    ({ content }) => content.revision > revision || (content.newest ?? 0) > newest,
  );
  return ready.length > 0 && !isBehind;
}

/** Whether enough peers hold this entry's own digest of `change` or later. */
export function isOwnChangeKnown(
  state: GossipState,
  change: number,
  forgetMs: Milliseconds,
  now: Milliseconds,
): boolean {
  const { name, incarnation } = state.self;
  const live = listLive(state, forgetMs, now).filter((record) => !record.content.stopping);
  const informed = live.filter((record) => {
    const held = state.held.get(record.name)?.get(name);
    return held?.incarnation === incarnation && held.change >= change;
  });
  return informed.length >= Math.min(INFORMED_PEERS, live.length);
}
