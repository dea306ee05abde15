/**
 * State of a completion in progress.
 */
import type {
  CompletionOutcome,
  CompletionRequest,
  TokenOutput,
} from '../../adapters/callers/index.js';
import type { AttemptEvent, AttemptState } from '../../controllers/attempts/index.js';
import type { Candidate, Prefix } from '../../controllers/routing/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { RequestTimings } from '../../core/metrics/index.js';
import type { CompletionFingerprints } from './request-quarantine.js';
import type { RequestParts } from './types.js';

/** An attempt that was sent and has not ended. */
export interface ActiveAttempt {
  attempt: string;
  candidate: Candidate;
  /** Whether the workspace takes capacity from others here; lowers its priority at the engine. */
  isCrowding: boolean;
  abortController: AbortController;
}

export interface CompletionRun {
  parts: RequestParts;
  request: CompletionRequest;
  output: TokenOutput;
  state: AttemptState;
  timings: RequestTimings;
  arrivedAt: Milliseconds;
  promptTokens: number;
  prefixes: readonly Prefix[];
  fingerprints: CompletionFingerprints;
  seed: number;
  /** Ticket of the current offer to the dispatcher; also the id of the resulting attempt. */
  ticket: string;
  offerCount: number;
  activeAttempt: ActiveAttempt | undefined;
  /** Pending while the caller's connection applies backpressure. */
  backpressure: Promise<void> | undefined;
  lastTokenAt: Milliseconds | undefined;
  retryTimer: NodeJS.Timeout | undefined;
  resolve: (outcome: CompletionOutcome) => void;
  /** Passes an event to the state machine and performs the resulting actions. */
  apply: (event: AttemptEvent) => void;
}
