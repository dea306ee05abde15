/**
 * Checking the answers of engines.
 */
import { err, ok, type Result } from 'neverthrow';
import type * as z from 'zod';
import { createFailure } from '../../core/errors/index.js';
import { parseJson } from '../../core/json/index.js';
import { engineRefusalSchema, type EngineRefusal } from './protocol.js';
import type { WholeAnswer } from './short-call.js';
import type { EngineFailure } from './types.js';

/** Statuses with which an engine refuses a completion before anything ran. */
const REFUSAL_STATUSES: readonly number[] = [400, 409, 429, 503];

/** The refusal in an answer; undefined when it is none that engines give. */
export function readRefusal({ status, body }: WholeAnswer): EngineRefusal | undefined {
  if (!REFUSAL_STATUSES.includes(status)) return undefined;
  return engineRefusalSchema.safeParse(parseJson(body)).data;
}

/** The answer's body by `schema`, from a call that succeeds with 200. */
export function readAnswer<Schema extends z.ZodType>(
  address: string,
  { status, body }: WholeAnswer,
  schema: Schema,
): Result<z.infer<Schema>, EngineFailure> {
  if (status !== 200) return err(unexpectedStatus(address, status));
  const parsed = schema.safeParse(parseJson(body));
  if (parsed.success) return ok(parsed.data);
  const reason = parsed.error.issues[0]?.message ?? 'not understood';
  return err(createFailure('messageInvalid', { from: address, reason }));
}

/** From a call that succeeds with 204. */
export function readEmpty(address: string, { status }: WholeAnswer): Result<void, EngineFailure> {
  return status === 204 ? ok(undefined) : err(unexpectedStatus(address, status));
}

function unexpectedStatus(address: string, status: number): EngineFailure {
  return createFailure('messageInvalid', { from: address, reason: `status ${status}` });
}
