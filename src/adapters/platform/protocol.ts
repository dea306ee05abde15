/**
 * The platform's object API over HTTP, as JSON.
 *
 *     GET    /objects/:kind               list            → objectList
 *     GET    /objects/:kind/:name         read            → storedObject, or 404
 *     PUT    /objects/:kind/:name         conditional     → storedObject, or 409 with conflict
 *     POST   /batch                       several conditional writes in one call, each on its own
 *     GET    /watch?kinds=a,b&since=R&waitMs=N            → objectList of the changes after R
 *
 * `expected` is the version that the writer read; 0 means the object must not exist. Deleting is a
 * write with `deleted: true`. A tombstone keeps its version and counts as existing for `expected`;
 * reads and watches show it, lists leave it out.
 * A watch answers at once when there are changes after `since`, else when there are or at `waitMs`.
 * Too many calls: 429 with Retry-After. In an outage: 503, or no answer at all.
 */
import * as z from 'zod';
import { storedObjectSchema } from '../../objects/index.js';

/** The largest value, as JSON. */
export const MAX_VALUE_BYTES = 1_048_576;

/** The most writes in one batch. */
export const MAX_BATCH_WRITES = 256;

export const objectListSchema = z.object({
  objects: z.array(storedObjectSchema),
  /** The platform's revision when it answered; an old copy answers with an older one. */
  revision: z.number().int().nonnegative(),
});

export const objectWriteSchema = z.object({
  expected: z.number().int().nonnegative(),
  nonce: z.string().min(1).max(100),
  deleted: z.boolean().default(false),
  value: z.unknown(),
});

export const conflictSchema = z.object({
  /** Absent when there is no such object. */
  current: storedObjectSchema.optional(),
});

export const batchWriteSchema = z.object({
  writes: z
    .array(objectWriteSchema.extend({ kind: z.string(), name: z.string() }))
    .min(1)
    .max(MAX_BATCH_WRITES),
});

export const batchResultSchema = z.object({
  /** In the order of the writes. */
  results: z.array(
    z.discriminatedUnion('outcome', [
      z.object({ outcome: z.literal('written'), object: storedObjectSchema }),
      z.object({ outcome: z.literal('conflict'), current: storedObjectSchema.optional() }),
      z.object({ outcome: z.literal('invalid'), reason: z.string() }),
    ]),
  ),
});

export type ObjectList = z.infer<typeof objectListSchema>;
export type ObjectWrite = z.infer<typeof objectWriteSchema>;
export type Conflict = z.infer<typeof conflictSchema>;
export type BatchResult = z.infer<typeof batchResultSchema>;
