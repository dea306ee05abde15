/**
 * Parsing of untrusted JSON.
 */

/**
 * Parses `text`, or returns undefined if it is not valid JSON. Message schemas reject undefined, so
 * the caller needs no separate check.
 *
 * @example const message = schema.safeParse(parseJson(text));
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
