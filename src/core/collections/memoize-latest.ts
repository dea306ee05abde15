/**
 * Keeping what was made last while nothing that it follows from changes.
 */

/**
 * `make`, called again only when one of its inputs is another value than the last time. For inputs that
 * are replaced and never changed in place.
 *
 * @example const domainsOf = keepLatest((fleet: ServingFleet) => outline(fleet));
 */
export function keepLatest<Inputs extends readonly unknown[], Value>(
  make: (...inputs: Inputs) => Value,
): (...inputs: Inputs) => Value {
  let latest: { inputs: Inputs; value: Value } | undefined;
  return (...inputs) => {
    const isSame = latest?.inputs.every((input, index) => Object.is(input, inputs[index]));
    if (latest === undefined || !isSame) latest = { inputs, value: make(...inputs) };
    return latest.value;
  };
}
