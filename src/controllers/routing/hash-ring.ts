/**
 * Consistent hashing of prompt prefixes to preferred replicas.
 *
 * All entries compute the same preferred replicas without coordination. Otherwise each entry could
 * settle on a different replica for the same prefix, and the prefix would be prefilled and cached
 * once per entry.
 */
import { PREFERRED_REPLICAS_PER_PREFIX } from './constants.js';
import type { RingNode } from './state.js';
import type { Candidate } from './types.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Builds the ring of `candidates`, sorted by hash. */
export function buildHashRing(candidates: readonly Candidate[]): RingNode[] {
  return candidates
    .map((candidate) => ({ hash: hashText(candidate.replica), candidate }))
    .sort((a, b) => a.hash - b.hash);
}

/** Lists the preferred replicas of a prefix: the successors of its hash on the ring. */
export function listPreferredReplicas(
  index: { hashRing: readonly RingNode[] },
  prefixHash: string,
): Candidate[] {
  const { hashRing } = index;
  const start = findSuccessorIndex(hashRing, hashText(prefixHash));
  const preferred: Candidate[] = [];
  for (
    let offset = 0;
    offset < Math.min(PREFERRED_REPLICAS_PER_PREFIX, hashRing.length);
    offset += 1
  ) {
    const node = hashRing[(start + offset) % hashRing.length];
    if (node) preferred.push(node.candidate);
  }
  return preferred;
}

/** Returns the index of the first node at or after `hash`. */
function findSuccessorIndex(hashRing: readonly RingNode[], hash: number): number {
  let low = 0;
  let high = hashRing.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((hashRing[middle]?.hash ?? 0) < hash) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** FNV-1a with a final mix, so that names differing only in the last character spread out. */
function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}
