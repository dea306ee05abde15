/**
 * What makes two attempts the same request, whoever sends them and whenever.
 */
import { createHash } from 'node:crypto';
import type { AdmittedRequest } from './types.js';

/** Hexadecimal digits, 64 bits: far too many for two requests to share one by chance. */
const FINGERPRINT_DIGITS = 16;

type Fingerprinted = Pick<AdmittedRequest, 'incoming' | 'caller' | 'holder' | 'body'>;

/**
 * The same for each attempt of one caller with the same method, host, path and body. The workspace
 * stands for the caller, since it may change its key.
 */
export function computeFingerprint({ incoming, caller, holder, body }: Fingerprinted): string {
  const { method, url, headers } = incoming;
  const head = [method, headers.host, url, holder?.workspace ?? caller.key];
  const hash = createHash('sha1').update(JSON.stringify(head));
  if (body) hash.update(body);
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
}
