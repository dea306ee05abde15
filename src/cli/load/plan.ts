/**
 * What a load run sends: several streams of requests, each with its workspace, class and target.
 */
import * as z from 'zod';
import { nameSchema, requestClassSchema } from '../../objects/index.js';

const MAX_RATE = 5_000;
const MAX_SECONDS = 3_600;
const MAX_PROMPT_WORDS = 20_000;
const MAX_OUTPUT_TOKENS = 20_000;

const streamBase = {
  name: nameSchema,
  /** API key of the workspace. */
  key: z.string().min(1),
  class: requestClassSchema.default('interactive'),
  /** Part of the arrivals, relative to the other streams. */
  share: z.number().positive().default(1),
};

const completionStreamSchema = z.strictObject({
  ...streamBase,
  model: nameSchema,
  /** Words of the prompt; those of one stream share the first half. */
  promptWords: z.number().int().positive().max(MAX_PROMPT_WORDS).default(200),
  maxTokens: z.number().int().positive().max(MAX_OUTPUT_TOKENS).default(64),
});

const serviceStreamSchema = z.strictObject({
  ...streamBase,
  service: nameSchema,
  method: z.enum(['GET', 'POST']).default('GET'),
  path: z.string().startsWith('/').default('/'),
  /** Send a fresh Idempotency-Key with each call. */
  once: z.boolean().default(false),
});

export const loadPlanSchema = z.strictObject({
  /** Arrivals a second, all streams together. */
  rate: z.number().positive().max(MAX_RATE),
  seconds: z.number().positive().max(MAX_SECONDS),
  seed: z.number().int().default(1),
  stream: z
    .array(z.union([completionStreamSchema, serviceStreamSchema]))
    .min(1)
    .max(64),
});

export type CompletionStream = z.infer<typeof completionStreamSchema>;
export type ServiceStream = z.infer<typeof serviceStreamSchema>;
export type LoadStream = CompletionStream | ServiceStream;
export type LoadPlan = z.infer<typeof loadPlanSchema>;
