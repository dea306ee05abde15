/**
 * The messages of the limits: may a workspace be served one more request now, and which part of
 * its fleet-wide limits may this entry use?
 */
import * as z from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import { incarnationSchema, nameSchema } from '../../objects/index.js';

/** What one request asks of its workspace's limits. */
export interface AdmissionRequest {
  workspace: string;
  /** Prompt and most output tokens, estimated; 0 for a plain service. */
  tokens: number;
}

/** `release` the admission with the tokens really used when the request has ended. */
export type Admission =
  | { kind: 'admitted' }
  | { kind: 'refused'; failure: Failure<'limitExceeded'>; retryAfterMs: Milliseconds };

const fraction = z.number().min(0).max(1);

/** What an entry lacks of one workspace's limits, as a part of the whole. */
export const shareNeedSchema = z.strictObject({
  workspace: nameSchema,
  missing: fraction,
});

/** A part of the lender's own share of one workspace's limits. */
export const shareLoanSchema = z.strictObject({
  workspace: nameSchema,
  fraction,
});

/** All that one entry lends another; it replaces what it lent it before. */
export const loanGrantSchema = z.strictObject({
  borrower: nameSchema,
  incarnation: incarnationSchema,
  /** Echo of the `stamp` with which the borrower asked. */
  askedAt: z.number(),
  loans: z.array(shareLoanSchema).max(64),
});

/** What entries tell each other about their shares; part of the digest between them. */
export const limitDigestSchema = z.strictObject({
  incarnation: incarnationSchema,
  /**
   * The sender's own clock when it made the digest. Nobody else reckons with it: it orders the
   * sender's digests, and comes back to it in grants.
   */
  stamp: z.number(),
  needs: z.array(shareNeedSchema).max(64),
  grants: z.array(loanGrantSchema).max(64),
});

export type ShareNeed = z.infer<typeof shareNeedSchema>;
export type ShareLoan = z.infer<typeof shareLoanSchema>;
export type LoanGrant = z.infer<typeof loanGrantSchema>;
export type LimitDigest = z.infer<typeof limitDigestSchema>;
