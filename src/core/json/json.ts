/**
 * JSON from outside, to be checked by a schema.
 */

/**
 * The parsed text, or undefined when it is not JSON: no schema of a message accepts that.
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
