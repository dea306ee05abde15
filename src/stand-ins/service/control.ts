/**
 * What tests can have a service stand-in do: POST /control.
 */
import * as z from 'zod';

/** What goes wrong with one call. */
export const callFaultSchema = z.discriminatedUnion('kind', [
  /** Read whole, not run, never answered. */
  z.object({ kind: z.literal('hangBeforeRun') }),
  /** Run, never answered. */
  z.object({ kind: z.literal('hangAfterRun') }),
  /** Read whole, not run, the connection reset. */
  z.object({ kind: z.literal('resetBeforeRun') }),
  /** Run, then the connection reset in place of the answer. */
  z.object({ kind: z.literal('resetAfterRun') }),
  /** Run and answered after so long. */
  z.object({ kind: z.literal('slow'), ms: z.number().int().nonnegative().max(600_000) }),
  /** Run; the connection breaks in the middle of the answer's body. */
  z.object({ kind: z.literal('truncate') }),
]);

export const serviceControlSchema = z.strictObject({
  leaving: z.boolean().optional(),
  /** Calls are refused with 503 before they run. */
  refusing: z.boolean().optional(),
  latencyMs: z.number().int().nonnegative().max(600_000).optional(),
  /** Faults of the next calls, one each. */
  faults: z.array(callFaultSchema).max(1_000).optional(),
});

export type CallFault = z.infer<typeof callFaultSchema>;
export type ServiceControl = z.infer<typeof serviceControlSchema>;
