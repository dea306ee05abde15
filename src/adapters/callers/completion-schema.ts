/**
 * The body of `POST /v1/chat/completions`, as far as it is used.
 */
import * as z from 'zod';
import { messageSchema } from '../engines/protocol.js';

const MAX_MESSAGES = 1_024;
const MAX_TOKENS = 131_072;
const DEFAULT_MAX_TOKENS = 1_024;

const tokenLimitSchema = z.number().int().positive().max(MAX_TOKENS);

/** Members that are not listed are ignored, as clients send many that engines do not have. */
export const completionBodySchema = z
  .object({
    model: z.string().min(1).max(120),
    messages: z.array(messageSchema).min(1).max(MAX_MESSAGES),
    stream: z.boolean().nullish(),
    max_tokens: tokenLimitSchema.nullish(),
    max_completion_tokens: tokenLimitSchema.nullish(),
    seed: z.number().int().nullish(),
    /** One answer for each request. */
    n: z.literal(1).nullish(),
  })
  .transform((body) => ({
    model: body.model,
    messages: body.messages,
    stream: body.stream ?? false,
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
    seed: body.seed ?? undefined,
  }));

export type CompletionBody = z.infer<typeof completionBodySchema>;
