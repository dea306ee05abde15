/**
 * Hashes what identifies a request, or a part of prompts, into a fingerprint.
 */
import { createHash } from 'node:crypto';

/** Hexadecimal digits: 64 bits make collisions negligible. */
const FINGERPRINT_DIGITS = 16;

/** @example hashFingerprint(['GET', 'passes.example', '/list/x', 'market']) // '71869a9c8e1137a4' */
export function hashFingerprint(
  identity: readonly (string | undefined)[],
  body?: Uint8Array,
): string {
  const hash = createHash('sha1').update(JSON.stringify(identity));
  if (body) hash.update(body);
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
}
