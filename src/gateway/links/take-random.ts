/**
 * Random choice of several elements.
 */
import type { Random } from '../../core/random/index.js';

/** Returns up to `count` random elements of `values`. */
export function takeRandom<Value>(
  random: Random,
  values: readonly Value[],
  count: number,
): Value[] {
  const left = [...values];
  const taken: Value[] = [];
  while (left.length > 0 && taken.length < count)
    taken.push(...left.splice(random.below(left.length), 1));
  return taken;
}
