/**
 * Rendezvous hashing: every process that knows the same names makes the same stable choice.
 */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a of `text`, continued from the hash of the text before it. */
function continueHash(before: number, text: string): number {
  let hash = before;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash;
}

/** Finalizes a hash, so that names that differ only in the last character spread. */
function finalizeHash(unmixed: number): number {
  let hash = unmixed;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Returns the weight of each name for `key`. The key is hashed once, since there are many names. */
function createWeigher(key: string): (name: string) => number {
  const keyHash = continueHash(FNV_OFFSET_BASIS, `${key}\u0000`);
  return (name) => finalizeHash(continueHash(keyHash, name));
}

/**
 * Returns the name with the highest weight for `key`, which {@link rankByRendezvous} ranks first;
 * undefined if `names` is empty.
 */
export function findByRendezvous(names: readonly string[], key: string): string | undefined {
  const weigh = createWeigher(key);
  let best: string | undefined;
  let bestWeight = -1;
  for (const name of names) {
    const weight = weigh(name);
    const isBetter =
      weight > bestWeight || (weight === bestWeight && best !== undefined && name < best);
    if (!isBetter) continue;
    best = name;
    bestWeight = weight;
  }
  return best;
}

/**
 * Sorts `names` by their weight for `key`, highest first. Removing a name only reassigns the keys
 * that it was ranked first for.
 *
 * @example rankByRendezvous(['entry-1', 'entry-2'], 'fabric-a')[0]
 */
export function rankByRendezvous(names: readonly string[], key: string): string[] {
  const weigh = createWeigher(key);
  return names
    .map((name) => ({ name, weight: weigh(name) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}
