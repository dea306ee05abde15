/**
 * Types of request admission, and schemas of the messages with which entries lend each other parts
 * of fleet-wide limits.
 */
import * as z from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import { incarnationSchema, nameSchema } from '../../objects/index.js';

/** The cost of one request against its workspace's limits. */
export interface AdmissionRequest {
  workspace: string;
  /** Estimated prompt tokens plus the maximum output tokens; 0 for a plain service. */
  tokens: number;
}

/** The result of an admission check. An admitted request must be released when it ends. */
export type Admission =
  | { kind: 'admitted' }
  | { kind: 'refused'; failure: Failure<'limitExceeded'>; retryAfterMs: Milliseconds };

const fraction = z.number().min(0).max(1);

/** How much of one workspace's limits an entry lacks, as a fraction of the whole limit. */
export const shareNeedSchema = z.strictObject({
  workspace: nameSchema,
  missing: fraction,
});

/** A fraction of one workspace's limits, lent out of the lender's own share. */
export const shareLoanSchema = z.strictObject({
  workspace: nameSchema,
  fraction,
});

/** Everything that one entry lends another; replaces its earlier grants to that entry. */
export const loanGrantSchema = z.strictObject({
  borrower: nameSchema,
  incarnation: incarnationSchema,
  /** The `stamp` of the borrower's request. */
  askedAt: z.number(),
  loans: z.array(shareLoanSchema).max(64),
});

/** Needs and grants that entries exchange as part of their digest. */
export const limitDigestSchema = z.strictObject({
  incarnation: incarnationSchema,
  /**
   * The sender's clock when it created the digest. Receivers use it only to order that sender's
   * digests, and echo it in their grants.
   */
  stamp: z.number(),
  needs: z.array(shareNeedSchema).max(64),
  grants: z.array(loanGrantSchema).max(64),
});

export type ShareNeed = z.infer<typeof shareNeedSchema>;
export type ShareLoan = z.infer<typeof shareLoanSchema>;
export type LoanGrant = z.infer<typeof loanGrantSchema>;
export type LimitDigest = z.infer<typeof limitDigestSchema>;
