/**
 * Push-pull gossip: composes the digests to send to a peer and merges the digests received from it.
 *
 * Within one incarnation of an entry, the digest with the higher sequence number wins. Between
 * incarnations, the digest created later wins, as computed from its age: relayed copies of the
 * previous process's digest are always older than the new process's first digest.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import {
  MAX_MESSAGE_LIST_LENGTH,
  type Digest,
  type DigestContent,
  type DigestMessage,
  type DomainSummary,
} from './messages.js';

/** The latest digest known of one entry. */
export interface PeerRecord {
  name: string;
  incarnation: string;
  sequence: number;
  change: number;
  content: DigestContent;
  /** When the digest was created, by this process's clock. */
  heardAt: Milliseconds;
  /** When a digest was last received from the entry itself; absent if all were relayed. */
  heardDirectlyAt?: Milliseconds;
}

/** The latest summary received of another failure domain. */
export interface SummaryRecord {
  summary: DomainSummary;
  madeAt: Milliseconds;
}

/** Identifies the digest of an entry that a peer is known to hold. */
interface DigestVersion {
  incarnation: string;
  sequence: number;
  change: number;
  madeAt: Milliseconds;
}

/** Everything an entry knows about the others. Mutated in place by the functions of this module. */
export interface GossipState {
  self: PeerRecord;
  peers: Map<string, PeerRecord>;
  summaries: Map<string, SummaryRecord>;
  /** By peer name, then by entry name: the digest that the peer is known to hold. */
  acknowledged: Map<string, Map<string, DigestVersion>>;
}

/** The result of processing a received message. */
export interface ReceiveResult {
  /** Name of the sender. */
  from: string;
  /** Entries whose record was replaced by a newer digest. */
  updated: readonly PeerRecord[];
}

/** Creates the state of an entry that has not received any digests. */
export function createGossipState(
  name: string,
  incarnation: string,
  content: DigestContent,
  now: Milliseconds,
): GossipState {
  const self = { name, incarnation, sequence: 1, change: 1, content, heardAt: now };
  return { self, peers: new Map(), summaries: new Map(), acknowledged: new Map() };
}

/** Advances this entry's own digest; `change` is incremented only if the content differs. */
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

/** Options of {@link composeMessage}. */
export interface MessageOptions {
  /** Name of the receiving entry; undefined if it is not known yet. */
  target: string | undefined;
  /** Digests that may be relayed to the target. */
  relayed: readonly PeerRecord[];
  summaries: readonly DomainSummary[];
  /** A heartbeat is relayed only if it is newer by more than this than the one the target holds. */
  heartbeatGapMs: Milliseconds;
  /** Maximum length of the message as JSON, before compression. */
  budgetBytes: number;
}

/**
 * Composes the message for a target: this entry's own digest, then everything that the target is
 * not known to hold and that fits the budget. Digests with content take precedence over summaries,
 * and summaries over heartbeats.
 */
export function composeMessage(
  state: GossipState,
  options: MessageOptions,
  now: Milliseconds,
): DigestMessage {
  const { target, summaries, budgetBytes } = options;
  const acknowledged = target === undefined ? undefined : state.acknowledged.get(target);
  const own = toDigest(state.self, acknowledged, now);
  const message: DigestMessage = { digests: [own], summaries: [] };
  let remainingBytes = budgetBytes - encodedLength(own);
  const appendIfFits = (list: unknown[], value: unknown): void => {
    const length = encodedLength(value);
    if (length > remainingBytes || list.length >= MAX_MESSAGE_LIST_LENGTH) return;
    remainingBytes -= length;
    list.push(value);
  };
  const pending = listUnacknowledgedDigests(options, acknowledged, now);
  for (const digest of pending)
    if (digest.content !== undefined) appendIfFits(message.digests, digest);
  for (const summary of summaries) appendIfFits(message.summaries, summary);
  for (const digest of pending)
    if (digest.content === undefined) appendIfFits(message.digests, digest);
  return message;
}

/** Lists the digests that the target is not known to hold, latest first. */
function listUnacknowledgedDigests(
  { target, relayed, heartbeatGapMs }: MessageOptions,
  acknowledged: ReadonlyMap<string, DigestVersion> | undefined,
  now: Milliseconds,
): Digest[] {
  const pending = relayed.filter((record) => {
    const known = acknowledged?.get(record.name);
    if (record.name === target) return false;
    if (known?.incarnation !== record.incarnation) return true;
    return known.change < record.change || record.heardAt - known.madeAt > heartbeatGapMs;
  });
  pending.sort((a, b) => b.heardAt - a.heardAt);
  return pending.map((record) => toDigest(record, acknowledged, now));
}

/**
 * Length of a value in a JSON list, including the comma. Names are ASCII, so characters are bytes.
 */
function encodedLength(value: unknown): number {
  return JSON.stringify(value).length + 1;
}

function toDigest(
  record: PeerRecord,
  acknowledged: ReadonlyMap<string, DigestVersion> | undefined,
  now: Milliseconds,
): Digest {
  const { name, incarnation, sequence, change, content, heardAt } = record;
  const known = acknowledged?.get(name);
  const holdsContent = known?.incarnation === incarnation && known.change === change;
  const heartbeat = { name, incarnation, sequence, change, ageMs: Math.round(now - heardAt) };
  return holdsContent ? heartbeat : { ...heartbeat, content };
}

/**
 * Merges the newer digests and summaries of `message` into the state. Duplicates, out-of-order
 * digests and digests of this entry itself have no effect.
 */
export function receiveMessage(
  state: GossipState,
  message: DigestMessage,
  now: Milliseconds,
): ReceiveResult {
  const [first] = message.digests;
  const from = first?.name ?? '';
  const updated: PeerRecord[] = [];
  for (const digest of message.digests) {
    const previous = state.peers.get(digest.name);
    const record = mergeDigest(previous, digest, digest === first, now);
    if (record !== undefined && digest.name !== state.self.name) {
      // A new incarnation holds none of the digests that the previous one held.
      if (previous?.incarnation !== record.incarnation) state.acknowledged.delete(record.name);
      state.peers.set(digest.name, record);
      updated.push(record);
    }
    recordAcknowledged(state, from, digest, now);
  }
  for (const summary of message.summaries) receiveSummary(state, summary, now);
  return { from, updated };
}

/** Returns the record for `digest`, or undefined if it is stale or its content is unknown here. */
function mergeDigest(
  previous: PeerRecord | undefined,
  digest: Digest,
  isDirect: boolean,
  now: Milliseconds,
): PeerRecord | undefined {
  const { name, incarnation, sequence, change } = digest;
  const heardAt = now - digest.ageMs;
  const isSameIncarnation = previous?.incarnation === incarnation;
  if (isSameIncarnation && sequence <= previous.sequence) return undefined;
  if (previous !== undefined && !isSameIncarnation && !isNewer(heardAt, previous, isDirect))
    return undefined;
  const canReuseContent = isSameIncarnation && previous.change === change;
  const content = digest.content ?? (canReuseContent ? previous.content : undefined);
  // A heartbeat whose content was never received only proves that the entry is alive. Combining it
  // with the previous content would present outdated content as current.
  if (content === undefined) return undefined;
  const record = { name, incarnation, sequence, change, content, heardAt };
  const heardDirectlyAt = isDirect ? now : isSameIncarnation ? previous.heardDirectlyAt : undefined;
  return heardDirectlyAt === undefined ? record : { ...record, heardDirectlyAt };
}

/**
 * Between incarnations the later digest wins; at the same time, the one sent by the entry itself.
 */
function isNewer(heardAt: Milliseconds, previous: PeerRecord, isDirect: boolean): boolean {
  return isDirect ? heardAt >= previous.heardAt : heardAt > previous.heardAt;
}

/**
 * Records that `peer` holds `digest`, because it sent it or acknowledged a message containing it.
 */
function recordAcknowledged(
  state: GossipState,
  peer: string,
  digest: Digest,
  now: Milliseconds,
): void {
  const acknowledged = state.acknowledged.get(peer) ?? new Map<string, DigestVersion>();
  state.acknowledged.set(peer, acknowledged);
  const { name, incarnation, sequence, change } = digest;
  const previous = acknowledged.get(name);
  if (previous?.incarnation === incarnation && previous.sequence > sequence) return;
  acknowledged.set(name, { incarnation, sequence, change, madeAt: now - digest.ageMs });
}

/** Records that `peer` holds every digest of `message`. Call when it has answered the message. */
export function confirmMessage(
  state: GossipState,
  peer: string,
  message: DigestMessage,
  now: Milliseconds,
): void {
  for (const digest of message.digests) recordAcknowledged(state, peer, digest, now);
}

function receiveSummary(state: GossipState, summary: DomainSummary, now: Milliseconds): void {
  if (summary.failureDomain === state.self.content.failureDomain) return;
  const madeAt = now - summary.ageMs;
  const previous = state.summaries.get(summary.failureDomain);
  if (previous !== undefined && previous.madeAt >= madeAt) return;
  state.summaries.set(summary.failureDomain, { summary, madeAt });
}

/** Removes peers and summaries that have not been updated since `cutoff`. */
export function removeExpiredPeers(state: GossipState, cutoff: Milliseconds): void {
  for (const [name, record] of state.peers) {
    if (record.heardAt >= cutoff) continue;
    state.peers.delete(name);
    state.acknowledged.delete(name);
  }
  for (const [domain, record] of state.summaries) {
    if (record.madeAt < cutoff) state.summaries.delete(domain);
  }
}
