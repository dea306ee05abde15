/**
 * What entries tell each other, as it goes over the wire. All of it is bounded.
 *
 * A digest has two halves: a short heartbeat, and a content that is sent only to a peer that does
 * not hold its current `change`. Instants never cross: `ageMs` is how old the digest is when sent.
 */
import * as z from 'zod';
import { incarnationSchema, nameSchema } from '../../objects/index.js';

/** Most entries of each list in a digest; a list that is longer is cut, which is always safe. */
export const DIGEST_LIST_LENGTH = 64;
/** Most digests, and most summaries, of one message. */
export const MESSAGE_LIST_LENGTH = 64;
/** Longest extension of a digest, as JSON text. */
export const EXTENSION_LENGTH = 1_500;
/** Longest message accepted, in bytes. */
export const MESSAGE_BYTES = 65_536;
/** Entries named in a domain's summary. */
export const SUMMARY_NAMES = 8;

const count = z.number().int().nonnegative();
const age = z.number().nonnegative();
const address = z
  .string()
  .max(60)
  .regex(/^[^:\s]+:\d{1,5}$/);

/** An instance that somebody saw leaving, and what was known of it at that time. */
export const leavingMarkSchema = z.strictObject({
  instance: nameSchema,
  /** The version of the instance in the platform's list when the mark was made. */
  version: count,
  /** The start of the instance that is leaving, when it said so itself. */
  incarnation: incarnationSchema.optional(),
});

/** Requests in flight at one instance or replica. */
export const inFlightSchema = z.strictObject({ target: nameSchema, count });

const sentSchema = z.strictObject({
  replica: nameSchema,
  requests: count,
  promptTokens: count,
  outputTokens: count,
});

const demandSchema = z.strictObject({
  workspace: nameSchema,
  requestsPerSecond: age,
  tokensPerSecond: age,
  concurrentRequests: count,
});

const extension = z.string().max(EXTENSION_LENGTH);

/** What an entry says of itself beside the fact that it lives. */
export const digestContentSchema = z.strictObject({
  peerAddress: address,
  region: nameSchema,
  failureDomain: nameSchema,
  /** The configuration revision in force. */
  revision: count,
  /** The newest object version held here, when it is beyond the revision. */
  newest: count.optional(),
  ready: z.boolean(),
  stopping: z.boolean(),
  /** Whether its own watch of the platform is answered; `unwatched` when others watch for it. */
  platform: z.enum(['reached', 'unreached', 'unwatched']),
  /**
   * For each target that it knows to be draining, also those with none in flight. That a target is
   * named here proves that the entry sends nothing more to it.
   */
  draining: z.array(inFlightSchema).max(DIGEST_LIST_LENGTH),
  sent: z.array(sentSchema).max(DIGEST_LIST_LENGTH),
  demands: z.array(demandSchema).max(DIGEST_LIST_LENGTH),
  leaving: z.array(leavingMarkSchema).max(DIGEST_LIST_LENGTH),
  /** What other controllers add, each as JSON text of its own schema. */
  extensions: z.strictObject({ health: extension.optional(), limits: extension.optional() }),
});

/** One entry's digest, first-hand or passed on. */
export const digestSchema = z.strictObject({
  name: nameSchema,
  incarnation: incarnationSchema,
  /** Grows with every round of the entry. */
  sequence: count,
  /** Grows when the content changes. */
  change: count,
  ageMs: age,
  content: digestContentSchema.optional(),
});

/** A failure domain as one of its entries sees it, for the entries of other domains. */
export const domainSummarySchema = z.strictObject({
  failureDomain: nameSchema,
  ageMs: age,
  /** Live entries of the domain. */
  entries: count,
  /** Every live entry of the domain has this revision in force. */
  revision: count,
  /** Entries that have less than the most that is known, at most a few by name. */
  behind: z
    .array(z.strictObject({ name: nameSchema, revision: count.optional() }))
    .max(SUMMARY_NAMES),
  /** Targets at which every live entry of the domain has none in flight. */
  drained: z.array(nameSchema).max(DIGEST_LIST_LENGTH),
});

/** One half of an exchange. The first digest is the sender's own. */
export const digestMessageSchema = z.strictObject({
  digests: z.array(digestSchema).min(1).max(MESSAGE_LIST_LENGTH),
  summaries: z.array(domainSummarySchema).max(MESSAGE_LIST_LENGTH),
});

export type LeavingMark = z.infer<typeof leavingMarkSchema>;
export type DigestContent = z.infer<typeof digestContentSchema>;
export type Digest = z.infer<typeof digestSchema>;
export type DomainSummary = z.infer<typeof domainSummarySchema>;
export type DigestMessage = z.infer<typeof digestMessageSchema>;
