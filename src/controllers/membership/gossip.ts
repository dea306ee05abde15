/**
 * Push-pull exchange of digests: what to tell a peer, and what to believe of what it tells.
 *
 * A digest replaces an older one of the same start of an entry when its sequence number is higher.
 * A digest of another start replaces it when it was made later, which its age tells: a copy of the
 * former process's digest that goes round for a while is always older than the new process's first.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import {
  MESSAGE_LIST_LENGTH,
  type Digest,
  type DigestContent,
  type DigestMessage,
  type DomainSummary,
} from './messages.js';

/** The last digest of one entry. */
export interface PeerRecord {
  name: string;
  incarnation: string;
  sequence: number;
  change: number;
  content: DigestContent;
  /** When the digest was made, by this process's clock. */
  heardAt: Milliseconds;
  /** When one was last received from the entry itself; absent when all came through others. */
  directAt?: Milliseconds;
}

/** The last summary of another failure domain. */
export interface SummaryRecord {
  summary: DomainSummary;
  madeAt: Milliseconds;
}

/** Which digest of an entry a peer is known to hold. */
interface HeldDigest {
  incarnation: string;
  sequence: number;
  change: number;
  madeAt: Milliseconds;
}

/** All that one entry knows of the others. Changed in place by the functions of this module. */
export interface GossipState {
  self: PeerRecord;
  peers: Map<string, PeerRecord>;
  summaries: Map<string, SummaryRecord>;
  /** By peer name: what that peer holds, by entry name. */
  held: Map<string, Map<string, HeldDigest>>;
}

/** What a received message changed. */
export interface Receipt {
  /** Who sent it. */
  from: string;
  /** Entries of which newer digests came. */
  updated: readonly PeerRecord[];
}

/** State of an entry that has heard nobody. */
export function createGossipState(
  name: string,
  incarnation: string,
  content: DigestContent,
  now: Milliseconds,
): GossipState {
  const self = { name, incarnation, sequence: 1, change: 1, content, heardAt: now };
  return { self, peers: new Map(), summaries: new Map(), held: new Map() };
}

/** Puts a new digest of this entry itself in place; a content that is equal is no new change. */
export function advanceSelf(state: GossipState, content: DigestContent, now: Milliseconds): void {
  const { self } = state;
  const changed = JSON.stringify(content) !== JSON.stringify(self.content);
  state.self = {
    ...self,
    sequence: self.sequence + 1,
    change: changed ? self.change + 1 : self.change,
    content,
    heardAt: now,
  };
}

/** What a message is composed from. */
export interface MessageQuestion {
  /** Undefined for an address whose entry is not known yet. */
  target: string | undefined;
  /** Digests that may be passed on to the target. */
  relayed: readonly PeerRecord[];
  summaries: readonly DomainSummary[];
  /** A heartbeat is passed on when it is newer by this than the one that the target holds. */
  heartbeatGapMs: Milliseconds;
  /** Length of the message before it is encoded. */
  budgetBytes: number;
}

/**
 * The message for a target: this entry's own digest, then what the target is not known to hold,
 * while the budget lasts. Contents go before summaries and those before mere heartbeats.
 */
export function composeMessage(
  state: GossipState,
  question: MessageQuestion,
  now: Milliseconds,
): DigestMessage {
  const { target, summaries, budgetBytes } = question;
  const held = target === undefined ? undefined : state.held.get(target);
  const own = describeRecord(state.self, held, now);
  const message: DigestMessage = { digests: [own], summaries: [] };
  let left = budgetBytes - measureLength(own);
  const take = (list: unknown[], value: unknown): void => {
    const length = measureLength(value);
    if (length > left || list.length >= MESSAGE_LIST_LENGTH) return;
    left -= length;
    list.push(value);
  };
  const news = listNews(question, held, now);
  for (const digest of news) if (digest.content !== undefined) take(message.digests, digest);
  for (const summary of summaries) take(message.summaries, summary);
  for (const digest of news) if (digest.content === undefined) take(message.digests, digest);
  return message;
}

/** Digests that the target is not known to hold, the latest first. */
function listNews(
  { target, relayed, heartbeatGapMs }: MessageQuestion,
  held: ReadonlyMap<string, HeldDigest> | undefined,
  now: Milliseconds,
): Digest[] {
  const news = relayed.filter((record) => {
    const known = held?.get(record.name);
    if (record.name === target) return false;
    if (known?.incarnation !== record.incarnation) return true;
    return known.change < record.change || record.heardAt - known.madeAt > heartbeatGapMs;
  });
  news.sort((a, b) => b.heardAt - a.heardAt);
  return news.map((record) => describeRecord(record, held, now));
}

/** Length of a value on the wire, in bytes; names are ASCII. */
function measureLength(value: unknown): number {
  return JSON.stringify(value).length + 1;
}

function describeRecord(
  record: PeerRecord,
  held: ReadonlyMap<string, HeldDigest> | undefined,
  now: Milliseconds,
): Digest {
  const { name, incarnation, sequence, change, content, heardAt } = record;
  const known = held?.get(name);
  const holdsContent = known?.incarnation === incarnation && known.change === change;
  const heartbeat = { name, incarnation, sequence, change, ageMs: Math.round(now - heardAt) };
  return holdsContent ? heartbeat : { ...heartbeat, content };
}

/**
 * Believes what is newer in `message`. Duplicates, digests in the wrong order and digests of this
 * entry itself change nothing.
 */
export function receiveMessage(
  state: GossipState,
  message: DigestMessage,
  now: Milliseconds,
): Receipt {
  const [first] = message.digests;
  const from = first?.name ?? '';
  const updated: PeerRecord[] = [];
  for (const digest of message.digests) {
    const before = state.peers.get(digest.name);
    const record = judgeDigest(before, digest, digest === first, now);
    if (record !== undefined && digest.name !== state.self.name) {
      // Another start of the entry holds nothing of what the former one held.
      if (before?.incarnation !== record.incarnation) state.held.delete(record.name);
      state.peers.set(digest.name, record);
      updated.push(record);
    }
    noteHeld(state, from, digest, now);
  }
  for (const summary of message.summaries) receiveSummary(state, summary, now);
  return { from, updated };
}

/** The record that `digest` makes, or undefined when it is old or cannot be understood yet. */
function judgeDigest(
  before: PeerRecord | undefined,
  digest: Digest,
  isDirect: boolean,
  now: Milliseconds,
): PeerRecord | undefined {
  const { name, incarnation, sequence, change } = digest;
  const heardAt = now - digest.ageMs;
  const isSameStart = before?.incarnation === incarnation;
  if (isSameStart && sequence <= before.sequence) return undefined;
  if (before !== undefined && !isSameStart && !isLater(heardAt, before, isDirect)) return undefined;
  const keepsContent = isSameStart && before.change === change;
  const content = digest.content ?? (keepsContent ? before.content : undefined);
  // A heartbeat of a content that was never received says only that somebody lives. Taking it with
  // the former content would pass that content off as current.
  if (content === undefined) return undefined;
  const record = { name, incarnation, sequence, change, content, heardAt };
  const directAt = isDirect ? now : isSameStart ? before.directAt : undefined;
  return directAt === undefined ? record : { ...record, directAt };
}

/** Between two starts the later digest counts; at the same instant, the entry's own word. */
function isLater(heardAt: Milliseconds, before: PeerRecord, isDirect: boolean): boolean {
  return isDirect ? heardAt >= before.heardAt : heardAt > before.heardAt;
}

/** Notes that `peer` holds `digest`: it sent it, or it took a message with it. */
function noteHeld(state: GossipState, peer: string, digest: Digest, now: Milliseconds): void {
  const held = state.held.get(peer) ?? new Map<string, HeldDigest>();
  state.held.set(peer, held);
  const { name, incarnation, sequence, change } = digest;
  const before = held.get(name);
  if (before?.incarnation === incarnation && before.sequence > sequence) return;
  held.set(name, { incarnation, sequence, change, madeAt: now - digest.ageMs });
}

/** Call when `peer` has answered: it has taken all of `message`. */
export function confirmMessage(
  state: GossipState,
  peer: string,
  message: DigestMessage,
  now: Milliseconds,
): void {
  for (const digest of message.digests) noteHeld(state, peer, digest, now);
}

function receiveSummary(state: GossipState, summary: DomainSummary, now: Milliseconds): void {
  if (summary.failureDomain === state.self.content.failureDomain) return;
  const madeAt = now - summary.ageMs;
  const before = state.summaries.get(summary.failureDomain);
  if (before !== undefined && before.madeAt >= madeAt) return;
  state.summaries.set(summary.failureDomain, { summary, madeAt });
}

/** Forgets entries unheard since `horizon`, and what they held. */
export function forgetPeers(state: GossipState, horizon: Milliseconds): void {
  for (const [name, record] of state.peers) {
    if (record.heardAt >= horizon) continue;
    state.peers.delete(name);
    state.held.delete(name);
  }
  for (const [domain, record] of state.summaries) {
    if (record.madeAt < horizon) state.summaries.delete(domain);
  }
}
