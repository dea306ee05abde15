/**
 * Which prompt prefixes each replica is believed to have cached.
 *
 * Beliefs come from own sends, which an engine caches as it prefills them, and from the engines'
 * cache events. They are hints: a wrong one costs prefill time, never a wrong answer.
 */
import type { CacheEvent, CacheEventList } from '../../adapters/engines/protocol.js';
import { MAX_BELIEVED_PREFIXES, MAX_HOLDERS } from './constants.js';
import type { CacheBelief, DispatchState } from './state.js';
import type { Prefix } from './types.js';

/**
 * Takes in a replica's cache events. Guards against beliefs that outlive the cache: a gap in the
 * sequence may hide evictions and a new incarnation starts with an empty cache, which would show as
 * requests sent to a replica that must prefill all the same. Either drops what was believed.
 *
 * @example recordCacheEvents(state, 'chat-1', { incarnation: 'a', events: [], oldest: 1 });
 */
export function recordCacheEvents(
  state: DispatchState,
  replica: string,
  list: CacheEventList,
): void {
  const belief = openBelief(state, replica);
  if (belief.incarnation !== undefined && belief.incarnation !== list.incarnation) {
    dropBelief(state, replica);
  }
  belief.incarnation = list.incarnation;
  if (belief.sequence !== undefined && list.oldest > belief.sequence + 1) {
    dropBelief(state, replica);
  }
  for (const event of list.events) applyEvent(state, replica, belief, event);
}

/** The last cache event taken in from `replica`, to ask for those after it; 0 before the first. */
export function lastCacheSequence(state: DispatchState, replica: string): number {
  return state.beliefs.get(replica)?.sequence ?? 0;
}

/** Believes that `replica` caches `prefixes`, because a request with them was sent to it. */
export function believeSent(
  state: DispatchState,
  replica: string,
  prefixes: readonly Prefix[],
): void {
  const belief = openBelief(state, replica);
  // The shortest is remembered last: the ends of prompts, which few requests share, go first.
  for (const prefix of [...prefixes].reverse()) remember(state, replica, belief, prefix);
}

/** Tokens at the start of a prompt that `replica` is believed to have cached. */
export function countCachedTokens(
  state: DispatchState,
  replica: string,
  prefixes: readonly Prefix[],
): number {
  const belief = state.beliefs.get(replica);
  const [shortest] = prefixes;
  if (!belief || !shortest || !belief.prefixes.has(shortest.hash)) return 0;
  for (let index = prefixes.length - 1; index >= 0; index -= 1) {
    const prefix = prefixes[index];
    if (prefix && belief.prefixes.has(prefix.hash)) return prefix.tokens;
  }
  return 0;
}

/** The longest prefix that any replica is believed to hold. */
export function longestKnown(
  state: DispatchState,
  prefixes: readonly Prefix[],
): Prefix | undefined {
  return prefixes.findLast((prefix) => state.holders.has(prefix.hash));
}

/** Up to `limit` replicas that are believed to hold the longest known prefixes. */
export function listHolders(
  state: DispatchState,
  prefixes: readonly Prefix[],
  limit: number,
): string[] {
  const found = new Set<string>();
  for (let index = prefixes.length - 1; index >= 0 && found.size < limit; index -= 1) {
    const holders = state.holders.get(prefixes[index]?.hash ?? '');
    for (const replica of holders ?? []) {
      if (found.size < limit) found.add(replica);
    }
  }
  return [...found];
}

/** Forgets all that is believed of `replica`'s cache. */
export function dropBelief(state: DispatchState, replica: string): void {
  const belief = state.beliefs.get(replica);
  if (!belief) return;
  for (const hash of belief.prefixes.keys()) forgetHolder(state, replica, hash);
  belief.prefixes.clear();
  delete belief.sequence;
}

function applyEvent(
  state: DispatchState,
  replica: string,
  belief: CacheBelief,
  event: CacheEvent,
): void {
  const last = belief.sequence;
  if (last !== undefined && event.sequence <= last) return;
  if (last !== undefined && event.sequence > last + 1) dropBelief(state, replica);
  belief.sequence = event.sequence;
  switch (event.kind) {
    case 'stored':
      remember(state, replica, belief, {
        hash: event.prefixHash,
        tokens: event.tokens,
      });
      return;
    case 'evicted':
      belief.prefixes.delete(event.prefixHash);
      forgetHolder(state, replica, event.prefixHash);
      return;
  }
}

function openBelief(state: DispatchState, replica: string): CacheBelief {
  const known = state.beliefs.get(replica);
  if (known) return known;
  const belief: CacheBelief = { prefixes: new Map() };
  state.beliefs.set(replica, belief);
  return belief;
}

function remember(
  state: DispatchState,
  replica: string,
  belief: CacheBelief,
  prefix: Prefix,
): void {
  belief.prefixes.delete(prefix.hash);
  belief.prefixes.set(prefix.hash, prefix.tokens);
  addHolder(state, replica, prefix.hash);
  if (belief.prefixes.size <= MAX_BELIEVED_PREFIXES) return;
  const [oldest] = belief.prefixes.keys();
  if (oldest === undefined) return;
  belief.prefixes.delete(oldest);
  forgetHolder(state, replica, oldest);
}

function addHolder(state: DispatchState, replica: string, hash: string): void {
  const holders = state.holders.get(hash) ?? new Set<string>();
  state.holders.set(hash, holders);
  holders.delete(replica);
  holders.add(replica);
  if (holders.size <= MAX_HOLDERS) return;
  const [oldest] = holders;
  if (oldest !== undefined) holders.delete(oldest);
}

function forgetHolder(state: DispatchState, replica: string, hash: string): void {
  const holders = state.holders.get(hash);
  holders?.delete(replica);
  if (holders?.size === 0) state.holders.delete(hash);
}
