/**
 * Answers of the operators' API that several commands read.
 */
import * as z from 'zod';
import { storedObjectSchema } from '../../objects/index.js';

/** A change that the platform has taken, with what is odd about it. */
export const appliedChangeSchema = z.object({
  object: storedObjectSchema,
  warnings: z.array(z.object({ key: z.string(), value: z.string(), fix: z.string() })),
});

export type AppliedChange = z.infer<typeof appliedChangeSchema>;

/** Each warning as one line of standard error. */
export function printWarnings({ object, warnings }: AppliedChange): void {
  for (const { key, value, fix } of warnings) {
    process.stderr.write(`warning: ${object.kind} "${object.name}": ${key} = ${value}: ${fix}\n`);
  }
}
