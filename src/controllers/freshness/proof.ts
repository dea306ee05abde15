/**
 * The age of a belief: since when it is known that nothing newer had been written.
 *
 * Only an answer proves that, and only for the moment at which its call was sent: that a watch is
 * quiet proves nothing, since its connection may bring nothing any more.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** Where a proof came from. */
export type ProofSource = 'store' | 'peer';

/** What is believed was the newest at `at`. */
export interface Proof {
  at: Milliseconds;
  source: ProofSource;
}

/** The later of two proofs. */
export function laterProof(known: Proof | undefined, offered: Proof): Proof {
  return known !== undefined && known.at >= offered.at ? known : offered;
}

/** {@link ageOf} in whole milliseconds, for logs and digests. */
export function roundedAge(proof: Proof | undefined, now: Milliseconds): Milliseconds | undefined {
  const age = ageOf(proof, now);
  return age === undefined ? undefined : Math.ceil(age);
}

/** How long ago a belief was proved; undefined when it never was. */
export function ageOf(proof: Proof | undefined, now: Milliseconds): Milliseconds | undefined {
  return proof && Math.max(0, now - proof.at);
}
