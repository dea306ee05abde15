/**
 * Memoization of the most recent call.
 */

/**
 * Wraps `compute` so that it runs again only when an input differs from the previous call. Inputs are
 * compared with `Object.is`, so they must be replaced rather than mutated.
 *
 * @example const domainsOf = memoizeLatest((fleet: ServingFleet) => groupByDomain(fleet));
 */
export function memoizeLatest<Inputs extends readonly unknown[], Value>(
  compute: (...inputs: Inputs) => Value,
): (...inputs: Inputs) => Value {
  let latest: { inputs: Inputs; value: Value } | undefined;
  return (...inputs) => {
    const isSame = latest?.inputs.every((input, index) => Object.is(input, inputs[index]));
    if (latest === undefined || !isSame) latest = { inputs, value: compute(...inputs) };
    return latest.value;
  };
}
