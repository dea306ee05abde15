/**
 * Proof that a cached value is fresh: the latest time at which it was known to be the newest.
 *
 * Only a response proves freshness, as of the time at which its request was sent. A silent watch
 * proves nothing, since its connection may be broken.
 */
import type { Milliseconds } from '../../core/clock/index.js';

export type ProofSource = 'store' | 'peer';

/** Proves that the cached value was the newest at `at`. */
export interface Proof {
  at: Milliseconds;
  source: ProofSource;
}

/** Returns the later of two proofs; the known one if they are equally old. */
export function laterProof(known: Proof | undefined, offered: Proof): Proof {
  return known !== undefined && known.at >= offered.at ? known : offered;
}

/** {@link proofAge} in whole milliseconds, for logs and digests. */
export function roundedProofAge(
  proof: Proof | undefined,
  now: Milliseconds,
): Milliseconds | undefined {
  const age = proofAge(proof, now);
  return age === undefined ? undefined : Math.ceil(age);
}

/** Returns the age of a proof; undefined if there is none. */
export function proofAge(proof: Proof | undefined, now: Milliseconds): Milliseconds | undefined {
  return proof && Math.max(0, now - proof.at);
}
