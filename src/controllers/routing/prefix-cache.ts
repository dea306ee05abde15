/**
 * Tracks which prompt prefixes each replica has probably cached.
 *
 * The sources are the requests that this entry sent and the cache events of the engines. The data
 * is a hint: if it is wrong, prompts are prefilled again, but answers stay correct.
 */
import type { CacheEvent, CacheEventList } from '../../adapters/engines/protocol.js';
import { MAX_PREFIXES_PER_REPLICA, MAX_REPLICAS_PER_PREFIX } from './constants.js';
import type { ReplicaCache, DispatchState } from './state.js';
import type { Prefix } from './types.js';

/**
 * Applies cache events of a replica. Drops the tracked prefixes on a gap in the sequence, which may
 * hide evictions, and on a new incarnation, which starts with an empty cache.
 *
 * @example recordCacheEvents(state, 'chat-1', { incarnation: 'a', events: [], oldest: 1 });
 */
export function recordCacheEvents(
  state: DispatchState,
  replica: string,
  eventList: CacheEventList,
): void {
  const cache = getOrCreateReplicaCache(state, replica);
  if (cache.incarnation !== undefined && cache.incarnation !== eventList.incarnation) {
    clearReplicaCache(state, replica);
  }
  cache.incarnation = eventList.incarnation;
  if (cache.lastSequence !== undefined && eventList.oldest > cache.lastSequence + 1) {
    clearReplicaCache(state, replica);
  }
  for (const event of eventList.events) applyCacheEvent(state, replica, cache, event);
}

/** Sequence number of the last cache event applied for `replica`; 0 if there is none. */
export function lastCacheSequence(state: DispatchState, replica: string): number {
  return state.replicaCaches.get(replica)?.lastSequence ?? 0;
}

/** Records that `replica` caches `prefixes` because it was sent a request with them. */
export function recordSentPrefixes(
  state: DispatchState,
  replica: string,
  prefixes: readonly Prefix[],
): void {
  const cache = getOrCreateReplicaCache(state, replica);
  // Add the shortest last, so that long prefixes, which few requests share, are evicted first.
  for (const prefix of [...prefixes].reverse()) addCachedPrefix(state, replica, cache, prefix);
}

/** Counts the leading prompt tokens that `replica` has probably cached. */
export function countCachedTokens(
  state: DispatchState,
  replica: string,
  prefixes: readonly Prefix[],
): number {
  const cache = state.replicaCaches.get(replica);
  const [shortest] = prefixes;
  if (!cache || !shortest || !cache.prefixes.has(shortest.hash)) return 0;
  for (let index = prefixes.length - 1; index >= 0; index -= 1) {
    const prefix = prefixes[index];
    if (prefix && cache.prefixes.has(prefix.hash)) return prefix.tokens;
  }
  return 0;
}

/** Returns the longest prefix that any replica has probably cached. */
export function findLongestCachedPrefix(
  state: DispatchState,
  prefixes: readonly Prefix[],
): Prefix | undefined {
  return prefixes.findLast((prefix) => state.replicasByPrefix.has(prefix.hash));
}

/** Lists up to `limit` replicas that have probably cached a prefix, longest prefixes first. */
export function listReplicasWithPrefix(
  state: DispatchState,
  prefixes: readonly Prefix[],
  limit: number,
): string[] {
  const found = new Set<string>();
  for (let index = prefixes.length - 1; index >= 0 && found.size < limit; index -= 1) {
    const replicas = state.replicasByPrefix.get(prefixes[index]?.hash ?? '');
    for (const replica of replicas ?? []) {
      if (found.size < limit) found.add(replica);
    }
  }
  return [...found];
}

/** Drops all tracked prefixes of `replica`. */
export function clearReplicaCache(state: DispatchState, replica: string): void {
  const cache = state.replicaCaches.get(replica);
  if (!cache) return;
  for (const hash of cache.prefixes.keys()) removeReplicaForPrefix(state, replica, hash);
  cache.prefixes.clear();
  delete cache.lastSequence;
}

function applyCacheEvent(
  state: DispatchState,
  replica: string,
  cache: ReplicaCache,
  event: CacheEvent,
): void {
  const lastSequence = cache.lastSequence;
  if (lastSequence !== undefined && event.sequence <= lastSequence) return;
  if (lastSequence !== undefined && event.sequence > lastSequence + 1)
    clearReplicaCache(state, replica);
  cache.lastSequence = event.sequence;
  switch (event.kind) {
    case 'stored':
      addCachedPrefix(state, replica, cache, {
        hash: event.prefixHash,
        tokens: event.tokens,
      });
      return;
    case 'evicted':
      cache.prefixes.delete(event.prefixHash);
      removeReplicaForPrefix(state, replica, event.prefixHash);
      return;
  }
}

function getOrCreateReplicaCache(state: DispatchState, replica: string): ReplicaCache {
  const existing = state.replicaCaches.get(replica);
  if (existing) return existing;
  const cache: ReplicaCache = { prefixes: new Map() };
  state.replicaCaches.set(replica, cache);
  return cache;
}

function addCachedPrefix(
  state: DispatchState,
  replica: string,
  cache: ReplicaCache,
  prefix: Prefix,
): void {
  cache.prefixes.delete(prefix.hash);
  cache.prefixes.set(prefix.hash, prefix.tokens);
  addReplicaForPrefix(state, replica, prefix.hash);
  if (cache.prefixes.size <= MAX_PREFIXES_PER_REPLICA) return;
  const [leastRecentlyUsed] = cache.prefixes.keys();
  if (leastRecentlyUsed === undefined) return;
  cache.prefixes.delete(leastRecentlyUsed);
  removeReplicaForPrefix(state, replica, leastRecentlyUsed);
}

function addReplicaForPrefix(state: DispatchState, replica: string, hash: string): void {
  const replicas = state.replicasByPrefix.get(hash) ?? new Set<string>();
  state.replicasByPrefix.set(hash, replicas);
  replicas.delete(replica);
  replicas.add(replica);
  if (replicas.size <= MAX_REPLICAS_PER_PREFIX) return;
  const [oldest] = replicas;
  if (oldest !== undefined) replicas.delete(oldest);
}

function removeReplicaForPrefix(state: DispatchState, replica: string, hash: string): void {
  const replicas = state.replicasByPrefix.get(hash);
  replicas?.delete(replica);
  if (replicas?.size === 0) state.replicasByPrefix.delete(hash);
}
