/**
 * What the platform's answers mean: the checked value, or the failure.
 */
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { createFailure } from '../../core/errors/index.js';
import { parseJson } from '../../core/json/index.js';
import type { CallFailure, PlatformAnswer } from './call.js';
import type { PlatformFailure } from './types.js';

/** Named in failures as the sender. */
const SENDER = 'the platform';
const refusalSchema = z.object({ reason: z.string().max(1_000) });

/** The answer's JSON when it has the schema, else `messageInvalid`. */
export function parseAnswer<Schema extends z.ZodType>(
  schema: Schema,
  answer: PlatformAnswer,
): Result<z.infer<Schema>, PlatformFailure> {
  const parsed = schema.safeParse(parseJson(answer.text));
  if (parsed.success) return ok(parsed.data);
  const reason = z.prettifyError(parsed.error);
  return err(createFailure('messageInvalid', { from: SENDER, reason }));
}

/** The failure that an answer of another status than the wanted ones stands for. */
export function toFailure(answer: PlatformAnswer, name: string): PlatformFailure {
  const { status, retryAfterMs } = answer;
  switch (status) {
    case 429:
      return createFailure('platformUnavailable', { reason: 'too many calls' }, retryAfterMs);
    case 503:
      return createFailure('platformUnavailable', { reason: 'it is in an outage' }, retryAfterMs);
    case 400:
    case 413:
    case 422:
      return createFailure('objectInvalid', { name, reason: readReason(answer) });
    default:
      return createFailure('messageInvalid', { from: SENDER, reason: `status ${status}` });
  }
}

/** The failure of a call that only reads: whether it arrived makes no difference. */
export function toReadFailure(failure: CallFailure): PlatformFailure {
  return createFailure('platformUnavailable', { reason: failure.reason });
}

function readReason(answer: PlatformAnswer): string {
  const refusal = refusalSchema.safeParse(parseJson(answer.text));
  return refusal.success ? refusal.data.reason : `status ${answer.status}`;
}
