/**
 * The messages of the admission decision: may a workspace be served one more request now?
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';

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
