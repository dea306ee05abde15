/**
 * What a model engine speaks: HTTP with JSON, and server-sent events for streams.
 *
 *     GET  /health                        → engineReport; 304 when `If-None-Match` names its entity tag
 *     POST /orders                        order → engineReport; 409 with `fenced` when it is old
 *     POST /v1/chat/completions           engineRequest → SSE of engineChunk, ends with `end`
 *     POST /v1/attempts/:attempt/cancel   → 204, also when there is no such attempt
 *     GET  /cache-events?since=N          → cacheEventList, late and with gaps in `sequence`
 *     GET  /kv/:prefixHash                → exported KV cache, 404 when it is not held
 *     PUT  /kv/:prefixHash                import
 *
 * Only the leader (rank 0) of a whole replica answers completions. Refusals before anything ran:
 * 503 with `notReady` (not leading a whole replica, leaving, releasing) or 429 with `overloaded`.
 */
import * as z from 'zod';
import { incarnationSchema, nameSchema } from '../../objects/index.js';

const count = z.number().int().nonnegative();

/** Load of a replica as its leader last measured it; late by the engine's lag. */
export const engineLoadSchema = z.object({
  running: count,
  waiting: count,
  /** Prompt tokens not yet prefilled, of running and waiting requests. */
  pendingPromptTokens: count,
  /** Output tokens still to be generated, by the requests' limits. */
  pendingOutputTokens: count,
  /** Requests that run side by side at most. */
  batchSize: z.number().int().positive(),
  /** Measured speeds, in milliseconds for one token. */
  prefillMsPerToken: z.number().nonnegative(),
  decodeMsPerToken: z.number().nonnegative(),
  /** Fraction of the KV cache in use. */
  cacheUse: z.number().min(0).max(1),
  /** How old the figures were when the engine answered. */
  ageMs: z.number().nonnegative(),
});

/** What an engine instance says of itself. */
export const engineReportSchema = z.object({
  instance: nameSchema,
  incarnation: incarnationSchema,
  /** `idle`: in no replica. `failed`: a member of its replica is gone; it serves no more. */
  state: z.enum(['idle', 'loading', 'ready', 'draining', 'failed']),
  /** The replica it was last ordered into and has not been released from. */
  replica: z
    .object({
      id: nameSchema,
      fence: count,
      model: nameSchema,
      weights: z.string(),
      rank: count,
      size: z.number().int().positive(),
    })
    .optional(),
  /** The highest fencing number seen; 0 for none. */
  fence: count,
  /** The instance itself has been told by its platform to leave. */
  leaving: z.boolean(),
  /** Requests accepted and not ended; only a leader has any. */
  inFlight: count,
  /** Only from a leader whose replica is ready. */
  load: engineLoadSchema.optional(),
  adapters: z.array(nameSchema),
  /** The last cache event's sequence number. */
  cacheSequence: count,
});

/** What an engine may be told to do. Every order carries the plan's fencing number. */
export const orderSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('form'),
    fence: count,
    replica: nameSchema,
    model: nameSchema,
    weights: z.string(),
    adapters: z.array(nameSchema),
    rank: count,
    /** In rank order. The engines reach each other by these addresses. */
    members: z.array(
      z.object({ instance: nameSchema, incarnation: incarnationSchema, address: z.string() }),
    ),
  }),
  /** Take no new requests, finish those in flight. */
  z.object({ kind: z.literal('drain'), fence: count, replica: nameSchema }),
  /** Leave the replica and go idle; requests still in flight are cut off. */
  z.object({ kind: z.literal('release'), fence: count, replica: nameSchema }),
  z.object({
    kind: z.literal('loadAdapter'),
    fence: count,
    replica: nameSchema,
    adapter: nameSchema,
  }),
]);

export const messageSchema = z.object({
  role: z.enum(['system', 'user', 'assistant', 'tool']),
  content: z.string(),
});

/** A completion as an entry asks an engine for it. */
export const engineRequestSchema = z.object({
  /** Unique for each sending; chunks carry it back. */
  attempt: z.string().min(1).max(100),
  model: nameSchema,
  replica: nameSchema,
  fence: count,
  messages: z.array(messageSchema).min(1),
  maxTokens: z.number().int().positive(),
  priority: z.number().int().min(0).max(9),
  /** Generation is deterministic for `seed` and messages, which makes a resume exact. */
  seed: z.number().int(),
  /** Skip this many tokens of the answer: the caller has them already. */
  resumeFrom: count.default(0),
});

/** One event of an engine's stream. `sequence` is the token's offset in the answer. */
export const engineChunkSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('token'), attempt: z.string(), sequence: count, text: z.string() }),
  z.object({
    kind: z.literal('end'),
    attempt: z.string(),
    /** Tokens of the whole answer, with those before `resumeFrom`. */
    sequence: count,
    reason: z.enum(['stop', 'length']),
    promptTokens: count,
    cachedTokens: count,
  }),
  z.object({ kind: z.literal('error'), attempt: z.string(), sequence: count, reason: z.string() }),
]);

export const engineRefusalSchema = z.object({
  refusal: z.enum(['fenced', 'notReady', 'overloaded', 'invalid']),
  reason: z.string(),
  /** When to come back, for `overloaded`. */
  retryAfterMs: z.number().nonnegative().optional(),
});

/** Prefixes are named by the hash of their text; see `hashPrefixes` in controllers/routing. */
export const cacheEventSchema = z.object({
  sequence: count,
  kind: z.enum(['stored', 'evicted']),
  prefixHash: z.string(),
  tokens: count,
});
export const cacheEventListSchema = z.object({
  incarnation: incarnationSchema,
  events: z.array(cacheEventSchema),
  /** The oldest sequence number still held; earlier ones are lost. */
  oldest: count,
});

export type EngineLoad = z.infer<typeof engineLoadSchema>;
export type EngineReport = z.infer<typeof engineReportSchema>;
export type Order = z.infer<typeof orderSchema>;
export type Message = z.infer<typeof messageSchema>;
export type EngineRequest = z.infer<typeof engineRequestSchema>;
export type EngineChunk = z.infer<typeof engineChunkSchema>;
export type EngineRefusal = z.infer<typeof engineRefusalSchema>;
export type CacheEvent = z.infer<typeof cacheEventSchema>;
export type CacheEventList = z.infer<typeof cacheEventListSchema>;
