/**
 * Seeded random numbers, so that a decision can be replayed exactly from its seed.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. Each call moves it on. */
export interface Random {
  /** A number in [0, 1). */
  fraction(): number;
  /** A whole number in [0, bound). `bound` is 1 or more. */
  below(bound: number): number;
}

const FRACTION_STEPS = 2 ** 30;

/**
 * A random source with a fixed sequence for each seed.
 *
 * @example const random = createRandom(42); const index = random.below(candidates.length);
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const below = (bound: number): number => uniformInt(generator, 0, bound - 1);
  return { below, fraction: () => below(FRACTION_STEPS) / FRACTION_STEPS };
}
