/**
 * Identifies attempts of the same request, across gateways and attempt ids.
 */
import { createHash } from 'node:crypto';
import type { AdmittedRequest } from './types.js';

/** Hexadecimal digits: 64 bits make collisions negligible. */
const FINGERPRINT_DIGITS = 16;

type FingerprintInput = Pick<AdmittedRequest, 'incoming' | 'caller' | 'keyHolder' | 'body'>;

/**
 * Hashes method, host, path, body and caller. The caller is identified by its workspace if known,
 * because a workspace can rotate its key.
 */
export function computeFingerprint({
  incoming,
  caller,
  keyHolder,
  body,
}: FingerprintInput): string {
  const { method, url, headers } = incoming;
  const identity = [method, headers.host, url, keyHolder?.workspace ?? caller.key];
  const hash = createHash('sha1').update(JSON.stringify(identity));
  if (body) hash.update(body);
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
}
