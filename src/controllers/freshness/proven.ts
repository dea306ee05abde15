/**
 * Whether what is cached may be taken for the newest state.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { proofAge, type Proof } from './proof.js';

/** What a gateway knows of the version that it has active. */
export interface VersionState {
  active: number;
  /** The newest version that any gateway is known to have active. */
  newest: number;
  proof: Proof | undefined;
}

/**
 * Whether no other version can have been in force for longer than `boundMs`. Without that, a refusal
 * that callers take for final may follow rules that operators have replaced.
 */
export function isProven(
  { active, newest, proof }: VersionState,
  boundMs: Milliseconds,
  now: Milliseconds,
): boolean {
  return active >= newest && (proofAge(proof, now) ?? Infinity) <= boundMs;
}
