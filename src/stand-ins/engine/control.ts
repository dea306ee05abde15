/**
 * What tests can have an engine stand-in do: POST /control, unknown to real engines.
 */
import * as z from 'zod';

const offset = z.number().int().nonnegative();

/** What goes wrong with one completion. `at` and `after` count tokens from `resumeFrom`. */
export const completionFaultSchema = z.discriminatedUnion('kind', [
  /** Every token, then the connection is closed without an end mark. */
  z.object({ kind: z.literal('dieBeforeEnd') }),
  /** Every token, then the body ends in good order without an end mark. */
  z.object({ kind: z.literal('noEnd') }),
  z.object({ kind: z.literal('cutAfter'), after: offset }),
  z.object({ kind: z.literal('duplicate'), at: offset }),
  z.object({ kind: z.literal('gap'), at: offset }),
  /** A chunk of another attempt comes before the token. */
  z.object({ kind: z.literal('foreignChunk'), at: offset }),
  /** All chunks carry another attempt. */
  z.object({ kind: z.literal('wrongAttempt') }),
  /** A token follows the end mark. */
  z.object({ kind: z.literal('afterEnd') }),
  /** The request is read and never answered. */
  z.object({ kind: z.literal('neverAnswer') }),
  /** The request is read and the connection closed. */
  z.object({ kind: z.literal('resetBeforeAnswer') }),
  z.object({ kind: z.literal('garbage'), at: offset }),
  z.object({ kind: z.literal('hugeLine'), at: offset, bytes: z.number().int().max(8_000_000) }),
  /** Nothing more after so many tokens; the connection stays open. */
  z.object({ kind: z.literal('hang'), after: offset }),
]);

export const engineControlSchema = z.strictObject({
  leaving: z.boolean().optional(),
  /** Steps take so many times as long. */
  slowFactor: z.number().positive().max(10_000).optional(),
  fencing: z.enum(['checked', 'ignored']).optional(),
  /** Goes on serving when another member of its replica is gone. */
  blind: z.boolean().optional(),
  /** Faults of the next completions, one each. */
  faults: z.array(completionFaultSchema).max(1_000).optional(),
});

export type CompletionFault = z.infer<typeof completionFaultSchema>;
export type EngineControl = z.infer<typeof engineControlSchema>;
