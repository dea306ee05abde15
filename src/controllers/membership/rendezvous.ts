/**
 * Rendezvous hashing: every process that knows the same names makes the same stable choice.
 */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a with a finalizer, so that names that differ only in the last character spread. */
function hashText(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Returns the name with the highest weight for `key`, which {@link rankByRendezvous} ranks first;
 * undefined if `names` is empty.
 */
export function findByRendezvous(names: readonly string[], key: string): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const name of names) {
    const weight = hashText(`${key}\u0000${name}`);
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
  return names
    .map((name) => ({ name, weight: hashText(`${key}\u0000${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}
