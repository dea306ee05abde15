/**
 * Header fields of responses.
 */

/** Converts headers by name to alternating names and values. */
export function flattenHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): string[] {
  return Object.entries(headers).flatMap(([name, values = []]) =>
    [values].flat().flatMap((value) => [name, value]),
  );
}
