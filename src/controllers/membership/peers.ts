/**
 * Derives the `peers` section and the source of configuration pulls from the gossip state.
 */
import type { Peer, Peers } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import type { GossipState, PeerRecord } from './gossip.js';

/** Peers that must hold a change of this entry before gossip is relied on to reach the others. */
const MIN_INFORMED_PEERS = 2;

/** Builds the `peers` section: the entries heard from within `forgetMs`. */
export function listPeers(state: GossipState, forgetMs: Milliseconds, now: Milliseconds): Peers {
  const live = listLivePeers(state, forgetMs, now);
  return new Map(live.map((record) => [record.name, describePeer(record)] as const));
}

/** Lists the entries heard from within `forgetMs`. */
export function listLivePeers(
  state: GossipState,
  forgetMs: Milliseconds,
  now: Milliseconds,
): PeerRecord[] {
  return [...state.peers.values()].filter((record) => now - record.heardAt <= forgetMs);
}

/** Lists the entries that announced their stop and have not been heard from for `forgetMs`. */
export function listDepartedPeers(
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

/** Options of {@link choosePullSource}. */
export interface PullSourceOptions {
  live: readonly PeerRecord[];
  /** The configuration revision in force at this entry. */
  revision: number;
  /** The newest object version held by this entry. */
  newest: number;
  /** Whether to pull from any ready peer, even one with no newer revision or version. */
  needsPeer: boolean;
  /** Name of the peer whose message was just received. */
  heard: string;
}

/**
 * Chooses the peer to pull missing configuration from: preferably the one just heard from,
 * otherwise a random peer that is ahead; undefined if none is.
 */
export function choosePullSource(
  options: PullSourceOptions,
  random: Random,
): PeerRecord | undefined {
  const { live, revision, newest, needsPeer, heard } = options;
  const ahead = live.filter(
    ({ content }) =>
      content.revision > revision || (content.newest ?? 0) > newest || (needsPeer && content.ready),
  );
  const direct = ahead.find((record) => record.name === heard);
  if (direct !== undefined || ahead.length === 0) return direct;
  return ahead[random.below(ahead.length)];
}

/**
 * Whether at least one ready peer is known and this entry has everything that ready peers have in
 * force.
 */
export function hasCaughtUp(
  live: readonly PeerRecord[],
  revision: number,
  newest: number,
): boolean {
  const readyPeers = live.filter((record) => record.content.ready);
  const isBehind = readyPeers.some(
    ({ content }) => content.revision > revision || (content.newest ?? 0) > newest,
  );
  return readyPeers.length > 0 && !isBehind;
}

/** Whether enough peers hold this entry's own digest with `change` or a later one. */
export function isOwnChangeReplicated(
  state: GossipState,
  change: number,
  forgetMs: Milliseconds,
  now: Milliseconds,
): boolean {
  const { name, incarnation } = state.self;
  const live = listLivePeers(state, forgetMs, now).filter((record) => !record.content.stopping);
  const informed = live.filter((record) => {
    const held = state.acknowledged.get(record.name)?.get(name);
    return held?.incarnation === incarnation && held.change >= change;
  });
  return informed.length >= Math.min(MIN_INFORMED_PEERS, live.length);
}
