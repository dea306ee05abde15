/**
 * Seeded random numbers, which make decisions reproducible.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A stateful source of random numbers. */
export interface Random {
  /** Returns a number in [0, 1). */
  fraction(): number;
  /** Returns an integer in [0, bound). `bound` must be at least 1. */
  below(bound: number): number;
}

const FRACTION_STEPS = 2 ** 30;

/**
 * Creates a random source whose sequence is determined by `seed`.
 *
 * @example const random = createRandom(42); const index = random.below(candidates.length);
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const below = (bound: number): number => uniformInt(generator, 0, bound - 1);
  return { below, fraction: () => below(FRACTION_STEPS) / FRACTION_STEPS };
}
