/**
 * Home replicas of prompt prefixes: a few replicas that every entry tries first for a prefix seen
 * before, found on a ring of hashes.
 *
 * Guards against one prefix being prefilled and cached again at as many replicas as there are
 * entries, which shows as a poor hit rate though every entry sends its own requests for a prefix to
 * the same replica. The entries agree on the homes without telling each other anything.
 */
import { HOME_SAMPLE } from './constants.js';
import type { RingPlace } from './state.js';
import type { Candidate } from './types.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** The ring of `candidates`, in the order of their hashes. */
export function buildRing(candidates: readonly Candidate[]): RingPlace[] {
  return candidates
    .map((candidate) => ({ hash: hashText(candidate.replica), candidate }))
    .sort((one, other) => one.hash - other.hash);
}

/** The homes of a prefix: the replicas that follow its hash on the ring. */
export function listHomes(index: { ring: readonly RingPlace[] }, prefixHash: string): Candidate[] {
  const { ring } = index;
  const start = findPlace(ring, hashText(prefixHash));
  const homes: Candidate[] = [];
  for (let step = 0; step < Math.min(HOME_SAMPLE, ring.length); step += 1) {
    const place = ring[(start + step) % ring.length];
    if (place) homes.push(place.candidate);
  }
  return homes;
}

/** The first place at or after `hash`. */
function findPlace(ring: readonly RingPlace[], hash: number): number {
  let low = 0;
  let high = ring.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((ring[middle]?.hash ?? 0) < hash) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** FNV-1a with a last mix, so that names that differ in the last character lie far apart. */
function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}
