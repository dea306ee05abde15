/**
 * Identifies attempts of the same request, and requests with the same parts in their prompts, across
 * gateways and attempt ids.
 */
import { createHash } from 'node:crypto';
import { partFingerprint } from '../../controllers/quarantine/index.js';
import type { AdmittedRequest } from './types.js';

/** Hexadecimal digits: 64 bits make collisions negligible. */
const FINGERPRINT_DIGITS = 16;

type FingerprintInput = Pick<AdmittedRequest, 'incoming' | 'caller' | 'keyHolder' | 'body'>;

/**
 * The fingerprint of the request, then those of the parts of its prompt that other requests may have.
 *
 * The first one hashes method, host, path, body and caller. The caller is identified by its workspace
 * if known, because a workspace can rotate its key.
 */
export function computeFingerprints({
  incoming,
  caller,
  keyHolder,
  body,
}: FingerprintInput): string[] {
  const { method, url, headers } = incoming;
  const identity = [method, headers.host, url, keyHolder?.workspace ?? caller.key];
  const hash = createHash('sha1').update(JSON.stringify(identity));
  if (body) hash.update(body);
  const fingerprint = hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
  return [fingerprint, ...new Set(caller.sharedParts?.map(partFingerprint))];
}
