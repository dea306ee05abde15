/**
 * What can be made to fail at the platform stand-in, and the switches for it.
 */
import * as z from 'zod';

/** The switches of POST /control; only those named change. */
export const platformControlSchema = z.strictObject({
  /** `refuse` answers 503, `hang` never answers, `reset` cuts the connection. */
  outage: z.enum(['none', 'refuse', 'hang', 'reset']).optional(),
  /** Each call waits this long before it has any effect. */
  delayMs: z.number().nonnegative().optional(),
  /** This many further writes take effect, and their connections are cut instead of answered. */
  loseAnswersAfterEffect: z.number().int().nonnegative().optional(),
  /** This many further writes wait before their effect until `releaseWrites`. */
  holdWrites: z.number().int().nonnegative().optional(),
  /** Lets held writes take effect, also those whose writer has gone. */
  releaseWrites: z.literal(true).optional(),
  /** Freezes a copy now, for `oldCopy` to answer from later. */
  takeCopy: z.literal(true).optional(),
  /** While on, reads of all sorts are answered from the copy taken before, else from one of now. */
  oldCopy: z.boolean().optional(),
  /** How long a change of an `instance` stays unseen by readers. */
  instanceLagMs: z.number().nonnegative().optional(),
  writesPerSecond: z.number().positive().optional(),
  readsPerSecond: z.number().positive().optional(),
});

export type PlatformControl = z.infer<typeof platformControlSchema>;
export type Outage = NonNullable<PlatformControl['outage']>;

/** What is switched on at the moment. */
export interface Faults {
  outage: Outage;
  delayMs: number;
  loseAnswersAfterEffect: number;
  holdWrites: number;
  /** Grows by one with each release; a held write waits for the next. */
  releases: number;
}

export function createFaults(): Faults {
  return { outage: 'none', delayMs: 0, loseAnswersAfterEffect: 0, holdWrites: 0, releases: 0 };
}

/** Whether the answer of the write that has just taken effect is to be lost. */
export function takeLostAnswer(faults: Faults): boolean {
  if (faults.loseAnswersAfterEffect === 0) return false;
  faults.loseAnswersAfterEffect -= 1;
  return true;
}

/** Whether the write that has just arrived is to be held. */
export function takeHeldWrite(faults: Faults): boolean {
  if (faults.holdWrites === 0) return false;
  faults.holdWrites -= 1;
  return true;
}
