/**
 * Grouping of values by key.
 */

/**
 * Groups `values` by the key that `keyOf` returns, preserving their order. Values whose key is
 * undefined are omitted.
 *
 * @example groupBy(servers, ({ service }) => service).get('models')
 */
export function groupBy<Value, Key>(
  values: Iterable<Value>,
  keyOf: (value: Value) => Key | undefined,
): Map<Key, Value[]> {
  const groups = new Map<Key, Value[]>();
  for (const value of values) {
    const key = keyOf(value);
    if (key === undefined) continue;
    const group = groups.get(key);
    if (group) group.push(value);
    else groups.set(key, [value]);
  }
  return groups;
}
