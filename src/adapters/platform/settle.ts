/**
 * Conditional writes whose answers may be lost.
 *
 * The failure guarded against: a write takes effect and its answer is lost, or, worse, it takes
 * effect only later, after its writer has given up on it and looked again. Reading again can't
 * tell: a read that still shows the expected version may come from an old copy, or be overtaken by
 * the write that is still under way. So the same write is sent again, with the same nonce and the
 * same expected version. Versions never repeat, so at most one of all its sendings takes effect:
 *
 * - The answer is `written`: this sending took effect, and the earlier one never will.
 * - It conflicts with an object that carries our nonce: an earlier sending took effect.
 * - It conflicts with another nonce: no sending can take effect any more. One may have done so
 *   before the other's change replaced it, which the outcome says (`maybeSuperseded`).
 *
 * When the repeats have no answer either, the outcome is `platformOutcomeUnknown`, and the write
 * may still take effect at any later time. It is settled by making the same write, nonce included.
 */
import { err, ok, type Result } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';
import { nextBackoff, type Backoff } from '../../core/backoff/index.js';
import { createFailure } from '../../core/errors/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Random } from '../../core/random/index.js';
import type { PlatformFailure, PlatformWrite, WriteOutcome } from './types.js';

/** How one sending of a write, or of a batch of them, ended. */
export type Sending<Value> =
  | { kind: 'answered'; value: Value }
  /** Certainly without effect. */
  | { kind: 'refused'; failure: PlatformFailure }
  /** It may have taken effect, or may still do so. */
  | { kind: 'lost'; reason: string };

/** What a repeated sending needs. */
interface SettleTools {
  random: Random;
  logger: Logger;
}

const REPEATS = 2;
const REPEAT_BACKOFF: Backoff = { baseMs: 50, maxMs: 200 };

/**
 * Sends until there is an answer, at most `REPEATS` times more. `send` is told whether an earlier
 * answer was lost.
 */
export async function settleSending<Value>(
  send: (isRepeat: boolean) => Promise<Sending<Value>>,
  tools: SettleTools,
): Promise<Result<Value, PlatformFailure>> {
  const first = await send(false);
  if (first.kind === 'answered') return ok(first.value);
  if (first.kind === 'refused') return err(first.failure);
  let { reason } = first;
  for (let repeat = 1; repeat <= REPEATS; repeat += 1) {
    tools.logger.log('platformWriteRepeated', { reason, repeat });
    await sleep(nextBackoff(repeat, REPEAT_BACKOFF, tools.random));
    const sending = await send(true);
    if (sending.kind === 'answered') return ok(sending.value);
    // A refusal says nothing of the sending before, which may still be under way.
    reason = sending.kind === 'lost' ? sending.reason : sending.failure.message;
  }
  return err(createFailure('platformOutcomeUnknown', { reason }));
}

/** The outcome of a conflict, in which a write's own earlier sending counts as success. */
export function resolveConflict(
  write: PlatformWrite,
  current: (WriteOutcome & { kind: 'conflict' })['current'],
  isRepeat: boolean,
): WriteOutcome {
  if (current?.nonce === write.nonce) return { kind: 'written', object: current };
  return isRepeat
    ? { kind: 'conflict', current, maybeSuperseded: true }
    : { kind: 'conflict', current };
}
