/**
 * A bounded cache of prompt prefixes. The least recently used blocks go first.
 */
import type { Prefix } from '../../controllers/routing/index.js';

/** A change of the cache, before it has a sequence number. */
export interface CacheChange {
  kind: 'stored' | 'evicted';
  prefixHash: string;
  tokens: number;
}

interface Block {
  /** Length of the prefix that ends with this block. */
  tokens: number;
  /** Tokens that this block adds to the prefix before it. */
  size: number;
  parent: string | undefined;
}

/** The state of one engine's cache; the map is in order of last use. */
export interface PrefixCache {
  capacity: number;
  used: number;
  blocks: Map<string, Block>;
}

/** An empty cache for `capacity` tokens. */
export function createPrefixCache(capacity: number): PrefixCache {
  return { capacity, used: 0, blocks: new Map() };
}

/** Tokens of the longest prefix that is held whole. `prefixes` come shortest first. */
export function matchPrefix(cache: PrefixCache, prefixes: readonly Prefix[]): number {
  let matched = 0;
  for (const prefix of prefixes) {
    if (!cache.blocks.has(prefix.hash)) return matched;
    matched = prefix.tokens;
  }
  return matched;
}

/** Holds all `prefixes`, makes room for them and returns what changed. */
export function storePrefixes(cache: PrefixCache, prefixes: readonly Prefix[]): CacheChange[] {
  const changes = addBlocks(cache, prefixes);
  // Deepest first: the start of a prompt is used last and stays longest, since a block
  // without the ones before it is of no use.
  for (const { hash } of prefixes.toReversed()) touch(cache, hash);
  return [...changes, ...evict(cache)];
}

/** The prefixes that make up `hash`, shortest first; undefined when they are not all held. */
export function exportPrefix(cache: PrefixCache, hash: string): Prefix[] | undefined {
  const chain: Prefix[] = [];
  let next: string | undefined = hash;
  while (next !== undefined) {
    const block: Block | undefined = cache.blocks.get(next);
    if (!block) return undefined;
    chain.unshift({ hash: next, tokens: block.tokens });
    next = block.parent;
  }
  return chain;
}

/** Forgets everything, as a release does. */
export function clearPrefixCache(cache: PrefixCache): CacheChange[] {
  const changes = [...cache.blocks].map(([prefixHash, { tokens }]) => evicted(prefixHash, tokens));
  cache.blocks.clear();
  cache.used = 0;
  return changes;
}

function addBlocks(cache: PrefixCache, prefixes: readonly Prefix[]): CacheChange[] {
  const changes: CacheChange[] = [];
  let parent: Prefix | undefined;
  for (const prefix of prefixes) {
    if (!cache.blocks.has(prefix.hash)) {
      const size = prefix.tokens - (parent?.tokens ?? 0);
      cache.blocks.set(prefix.hash, { tokens: prefix.tokens, size, parent: parent?.hash });
      cache.used += size;
      changes.push({ kind: 'stored', prefixHash: prefix.hash, tokens: prefix.tokens });
    }
    parent = prefix;
  }
  return changes;
}

function touch(cache: PrefixCache, hash: string): void {
  const block = cache.blocks.get(hash);
  if (!block) return;
  cache.blocks.delete(hash);
  cache.blocks.set(hash, block);
}

function evict(cache: PrefixCache): CacheChange[] {
  const changes: CacheChange[] = [];
  for (const [hash, block] of cache.blocks) {
    if (cache.used <= cache.capacity) break;
    cache.blocks.delete(hash);
    cache.used -= block.size;
    changes.push(evicted(hash, block.tokens));
  }
  return changes;
}

function evicted(prefixHash: string, tokens: number): CacheChange {
  return { kind: 'evicted', prefixHash, tokens };
}
