/**
 * Identifies attempts of the same request, and requests with the same parts in their prompts, across
 * gateways and attempt ids.
 */
import { hashFingerprint, partFingerprint } from '../../controllers/quarantine/index.js';
import type { AdmittedRequest } from './types.js';

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
  return [hashFingerprint(identity, body), ...new Set(caller.sharedParts?.map(partFingerprint))];
}
