/**
 * Idempotency keys: which are taken, and how one that is older than the retention is recognised.
 *
 * A record cannot be kept for ever, and a key whose record is gone must not look new: the call
 * would run a second time. A UUID of version 7 carries its time of creation, so it is refused from
 * that alone and its record can be deleted. Any other key carries no time; its record is cut down
 * to the state `expired` and stays.
 */
import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { MAX_KEY_AHEAD_MS, MAX_KEY_LENGTH } from './constants.js';
import type { OnceCall } from './types.js';

const PRINTABLE = /^[\x21-\x7e]+$/;
const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const TIME_DIGITS = 12;
const HEXADECIMAL = 16;
const NAME_DIGITS = 40;

/** What is known of a key's age. */
export type KeyAge =
  { kind: 'timed'; createdAt: Milliseconds; expiresAt: Milliseconds } | { kind: 'untimed' };

/**
 * The age of `key`, or why it is refused: `invalidRequest` or `keyExpired`.
 *
 * @param wallNow milliseconds since 1970 by this entry's wall clock.
 * @param retentionMs how long the outcome of a call is kept.
 * @example checkKey('018f3f2e-5a00-7000-8000-000000000001', Date.now(), 86_400_000)
 */
export function checkKey(
  key: string,
  wallNow: Milliseconds,
  retentionMs: Milliseconds,
): Result<KeyAge, Failure<'invalidRequest' | 'keyExpired'>> {
  if (key.length > MAX_KEY_LENGTH || !PRINTABLE.test(key)) {
    const reason = `the Idempotency-Key must be 1 to ${MAX_KEY_LENGTH} printable ASCII characters`;
    return err(createFailure('invalidRequest', { reason }));
  }
  if (!UUID_V7.test(key)) return ok({ kind: 'untimed' });

  const createdAt = parseInt(key.replace('-', '').slice(0, TIME_DIGITS), HEXADECIMAL);
  if (createdAt > wallNow + MAX_KEY_AHEAD_MS) {
    const reason = 'the time in the Idempotency-Key lies in the future';
    return err(createFailure('invalidRequest', { reason }));
  }
  const expiresAt = createdAt + retentionMs;
  if (expiresAt <= wallNow) return err(createFailure('keyExpired'));
  return ok({ kind: 'timed', createdAt, expiresAt });
}

/**
 * The name of the record of `call`: the same at every entry, another for each workspace and key.
 *
 * @example nameRecord({ workspace: 'halvorsen', service: 'gate', key: 'k-1', fingerprint: 'f' })
 */
export function nameRecord(call: OnceCall): string {
  const identity = JSON.stringify([call.workspace, call.key]);
  return createHash('sha256').update(identity).digest('hex').slice(0, NAME_DIGITS);
}
