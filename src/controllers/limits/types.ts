/**
 * The messages of the limits: may a workspace be served one more request now, and which part of
 * its fleet-wide limits may this entry use?
 */
import { z } from 'zod';
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

/** What an entry would use of one workspace's limits, and what it may use, as parts of the whole. */
export const shareNeedSchema = z.object({
  workspace: nameSchema,
  wanted: z.number().min(0).max(1_000),
  held: fraction,
});

/** A part of the lender's own share that the borrower may use for a while. */
export const shareLoanSchema = z.object({
  workspace: nameSchema,
  borrower: nameSchema,
  fraction,
});

/** Echo of the borrower's `stamp`: the borrower's lease runs from then on its own clock. */
export const loanTermSchema = z.object({
  borrower: nameSchema,
  incarnation: incarnationSchema,
  stamp: z.number(),
});

/** What entries tell each other about their shares; part of the digest between them. */
export const limitDigestSchema = z.object({
  incarnation: incarnationSchema,
  /** The sender's own clock when it made the digest; it also orders the sender's digests. */
  stamp: z.number(),
  needs: z.array(shareNeedSchema).max(1_000),
  terms: z.array(loanTermSchema).max(1_000),
  loans: z.array(shareLoanSchema).max(4_000),
});

export type ShareNeed = z.infer<typeof shareNeedSchema>;
export type ShareLoan = z.infer<typeof shareLoanSchema>;
export type LoanTerm = z.infer<typeof loanTermSchema>;
export type LimitDigest = z.infer<typeof limitDigestSchema>;
