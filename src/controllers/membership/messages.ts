/**
 * Schemas of the gossip messages between entries. Every field is bounded in size.
 *
 * A digest consists of a short heartbeat and a content, which is sent only to a peer that does not
 * hold its current `change`. Messages carry ages rather than timestamps, since clocks differ:
 * `ageMs` is the age of the digest when it is sent.
 */
import * as z from 'zod';
import { incarnationSchema, nameSchema } from '../../objects/index.js';

/** Maximum length of each list in a digest; longer lists are truncated, which is always safe. */
export const MAX_DIGEST_LIST_LENGTH = 64;
/** Maximum number of digests, and of summaries, in one message. */
export const MAX_MESSAGE_LIST_LENGTH = 64;
/** Maximum length of a digest extension as JSON text. */
export const MAX_EXTENSION_LENGTH = 1_500;
/** Maximum size of an accepted message. */
export const MAX_MESSAGE_BYTES = 65_536;
/** Maximum number of entries listed as behind in a domain summary. */
export const MAX_SUMMARY_BEHIND = 8;

const count = z.number().int().nonnegative();
const nonNegative = z.number().nonnegative();
const address = z
  .string()
  .max(60)
  .regex(/^[^:\s]+:\d{1,5}$/);

/** Marks an instance as leaving, as observed by some entry. */
export const leavingMarkSchema = z.strictObject({
  instance: nameSchema,
  /** The version of the instance in the platform's list when the mark was created. */
  version: count,
  /** The incarnation that is leaving; present only if the instance reported it itself. */
  incarnation: incarnationSchema.optional(),
});

/** Number of requests in flight at one instance or replica. */
export const inFlightSchema = z.strictObject({ target: nameSchema, count });

const sentSchema = z.strictObject({
  replica: nameSchema,
  requests: count,
  promptTokens: count,
  outputTokens: count,
});

const demandSchema = z.strictObject({
  workspace: nameSchema,
  requestsPerSecond: nonNegative,
  tokensPerSecond: nonNegative,
  concurrentRequests: count,
});

const extension = z.string().max(MAX_EXTENSION_LENGTH);

/** The state that an entry publishes about itself. */
export const digestContentSchema = z.strictObject({
  peerAddress: address,
  region: nameSchema,
  failureDomain: nameSchema,
  /** The configuration revision in force. */
  revision: count,
  /** The newest object version held by the entry; present only if beyond the revision. */
  newest: count.optional(),
  ready: z.boolean(),
  stopping: z.boolean(),
  /** Whether the platform answers the entry's own watch; `unwatched` if others watch for it. */
  platform: z.enum(['reached', 'unreached', 'unwatched']),
  /**
   * Every target that the entry knows to be draining, including those with none in flight. A target
   * listed here receives no new requests from the entry.
   */
  draining: z.array(inFlightSchema).max(MAX_DIGEST_LIST_LENGTH),
  sent: z.array(sentSchema).max(MAX_DIGEST_LIST_LENGTH),
  demands: z.array(demandSchema).max(MAX_DIGEST_LIST_LENGTH),
  leaving: z.array(leavingMarkSchema).max(MAX_DIGEST_LIST_LENGTH),
  /** Data of other controllers, each as JSON text with its own schema. */
  extensions: z.strictObject({
    health: extension.optional(),
    limits: extension.optional(),
    quarantine: extension.optional(),
  }),
});

/** The digest of one entry, sent by the entry itself or relayed. */
export const digestSchema = z.strictObject({
  name: nameSchema,
  incarnation: incarnationSchema,
  /** Incremented in every gossip round of the entry. */
  sequence: count,
  /** Incremented whenever the content changes. */
  change: count,
  ageMs: nonNegative,
  content: digestContentSchema.optional(),
});

/** The state of a failure domain as seen by one of its entries, for entries of other domains. */
export const domainSummarySchema = z.strictObject({
  failureDomain: nameSchema,
  ageMs: nonNegative,
  /** Number of entries of the domain, listed or live. */
  entries: count,
  /**
   * The lowest revision that any entry of the domain has in force; 0 for an entry not heard from.
   */
  revision: count,
  /** Entries whose revision is below the newest in the domain, lowest first; truncated. */
  behind: z
    .array(z.strictObject({ name: nameSchema, revision: count.optional() }))
    .max(MAX_SUMMARY_BEHIND),
  /** Draining targets at which no entry of the domain has requests in flight. */
  drained: z.array(nameSchema).max(MAX_DIGEST_LIST_LENGTH),
});

/** The request or the response of an exchange. The first digest is the sender's own. */
export const digestMessageSchema = z.strictObject({
  digests: z.array(digestSchema).min(1).max(MAX_MESSAGE_LIST_LENGTH),
  summaries: z.array(domainSummarySchema).max(MAX_MESSAGE_LIST_LENGTH),
});

export type LeavingMark = z.infer<typeof leavingMarkSchema>;
export type DigestContent = z.infer<typeof digestContentSchema>;
export type Digest = z.infer<typeof digestSchema>;
export type DomainSummary = z.infer<typeof domainSummarySchema>;
export type DigestMessage = z.infer<typeof digestMessageSchema>;
