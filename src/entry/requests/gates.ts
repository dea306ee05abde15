/**
 * Admission and the retry decision, each with its memory bound to it.
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

/** May a workspace be served one more request now? */
export interface AdmissionGate {
  admit(request: AdmissionRequest): Admission;
  /** The admitted request has ended and used `tokens`. */
  release(request: AdmissionRequest, tokens: number): void;
}

/** What follows when an attempt ended badly? */
export interface RetryGate {
  /** The first attempt of a request was sent; it earns part of a retry. */
  recordFirst(target: string, workspace: string): void;
  decide(question: RetryContext): RetryDecision;
}

/** A workspace that no share has been worked out for may use nothing. */
const NO_SHARE: WorkspaceShare = {
  requestsPerSecond: 0,
  tokensPerSecond: 0,
  concurrentRequests: 0,
};

export function createAdmissionGate({ board, clock }: EntryContext): AdmissionGate {
  const state = createLimitState();
  return {
    admit: (request) => {
      const share = board.limits.read().get(request.workspace) ?? NO_SHARE;
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
    recordFirst: (target, workspace) => {
      recordRequest(state, target, workspace, clock.now());
    },
    decide: (question) => decideRetry(state, question, clock.now(), random),
  };
}
