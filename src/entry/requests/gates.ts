/**
 * Binds admission control and the retry policy to their state.
 */
import type { WorkspaceShare } from '../../board/index.js';
import {
  admitRequest,
  createLimitState,
  releaseRequest,
  type Admission,
  type AdmissionRequest,
} from '../../controllers/limits/index.js';
import {
  createRetryState,
  decideRetry,
  recordRequest,
  type RetryDecision,
  type RetryContext,
} from '../../controllers/retries/index.js';
import type { EntryContext } from '../types.js';

/** Admission control by the limits of each workspace. */
export interface AdmissionGate {
  admit(request: AdmissionRequest): Admission;
  /** Releases an admitted request that used `tokens` tokens. */
  release(request: AdmissionRequest, tokens: number): void;
}

/** Decides whether a failed attempt is retried. */
export interface RetryGate {
  /** Records the first attempt of a request, which adds to the retry budget. */
  recordFirstAttempt(target: string, workspace: string): void;
  decide(question: RetryContext): RetryDecision;
}

/** Applies to a workspace whose share has not been computed. */
const ZERO_SHARE: WorkspaceShare = {
  requestsPerSecond: 0,
  tokensPerSecond: 0,
  concurrentRequests: 0,
};

export function createAdmissionGate({ board, clock }: EntryContext): AdmissionGate {
  const state = createLimitState();
  return {
    admit: (request) => {
      const share = board.limits.read().get(request.workspace) ?? ZERO_SHARE;
      return admitRequest(state, request, share, clock.now());
    },
    release: ({ workspace, tokens: reserved }, tokens) => {
      releaseRequest(state, workspace, tokens, clock.now(), reserved);
    },
  };
}

export function createRetryGate({ clock, random }: EntryContext): RetryGate {
  const state = createRetryState();
  return {
    recordFirstAttempt: (target, workspace) => {
      recordRequest(state, target, workspace, clock.now());
    },
    decide: (question) => decideRetry(state, question, clock.now(), random),
  };
}
