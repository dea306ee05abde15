/**
 * Validation and expiry of idempotency keys.
 *
 * A key whose record has been deleted must not be accepted as new, or its call would run twice. A
 * UUIDv7 contains its creation time, so an expired one can be rejected without its record, which is
 * deleted. For any other key the record is kept and reduced to the state `expired`.
 */
import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { MAX_KEY_CLOCK_LEAD_MS, MAX_KEY_LENGTH } from './constants.js';
import type { OnceCall } from './types.js';

const PRINTABLE_ASCII = /^[\x21-\x7e]+$/;
const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const TIMESTAMP_HEX_DIGITS = 12;
const HEX_RADIX = 16;
const RECORD_NAME_LENGTH = 40;

/** Creation and expiry time of a key, if it contains a timestamp. */
export type KeyAge =
  { kind: 'timed'; createdAt: Milliseconds; expiresAt: Milliseconds } | { kind: 'untimed' };

/**
 * Validates `key` and returns its age, or `invalidRequest` or `keyExpired`.
 *
 * @param wallNow this entry's wall clock, in ms since the Unix epoch.
 * @param retentionMs how long the outcome of a call is stored.
 * @example checkKey('018f3f2e-5a00-7000-8000-000000000001', Date.now(), 86_400_000)
 */
export function checkKey(
  key: string,
  wallNow: Milliseconds,
  retentionMs: Milliseconds,
): Result<KeyAge, Failure<'invalidRequest' | 'keyExpired'>> {
  if (key.length > MAX_KEY_LENGTH || !PRINTABLE_ASCII.test(key)) {
    const reason = `the Idempotency-Key must be 1 to ${MAX_KEY_LENGTH} printable ASCII characters`;
    return err(createFailure('invalidRequest', { reason }));
  }
  if (!UUID_V7.test(key)) return ok({ kind: 'untimed' });

  const createdAt = parseInt(key.replace('-', '').slice(0, TIMESTAMP_HEX_DIGITS), HEX_RADIX);
  if (createdAt > wallNow + MAX_KEY_CLOCK_LEAD_MS) {
    const reason = 'the time in the Idempotency-Key lies in the future';
    return err(createFailure('invalidRequest', { reason }));
  }
  const expiresAt = createdAt + retentionMs;
  if (expiresAt <= wallNow) return err(createFailure('keyExpired'));
  return ok({ kind: 'timed', createdAt, expiresAt });
}

/**
 * Derives the record name of `call` from its workspace and key; the same on every entry.
 *
 * @example nameRecord({ workspace: 'halvorsen', service: 'gate', key: 'k-1', fingerprint: 'f' })
 */
export function nameRecord(call: OnceCall): string {
  const identity = JSON.stringify([call.workspace, call.key]);
  return createHash('sha256').update(identity).digest('hex').slice(0, RECORD_NAME_LENGTH);
}
