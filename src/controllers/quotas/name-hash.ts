/**
 * Fingerprint of a set of names.
 */
import { createHash } from 'node:crypto';

const LENGTH = 12;

/** Returns the same text for the same names in any order. */
export function hashNames(names: readonly string[]): string {
  const text = [...names].sort().join('\n');
  return createHash('sha256').update(text).digest('base64url').slice(0, LENGTH);
}
