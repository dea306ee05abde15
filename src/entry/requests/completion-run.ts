/**
 * What is kept of one completion under way.
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
import type { RequestParts } from './types.js';

/** An attempt that has been sent and not ended. */
export interface Sending {
  attempt: string;
  candidate: Candidate;
  /** Its workspace crowds out others at this entry. */
  isCrowding: boolean;
  abort: AbortController;
}

/** One completion under way. */
export interface CompletionRun {
  parts: RequestParts;
  request: CompletionRequest;
  output: TokenOutput;
  state: AttemptState;
  timings: RequestTimings;
  arrivedAt: Milliseconds;
  promptTokens: number;
  prefixes: readonly Prefix[];
  seed: number;
  /** The ticket of the current offer, also the id of the attempt made of it. */
  ticket: string;
  offers: number;
  sending: Sending | undefined;
  /** Pending while the caller can't take more. */
  flow: Promise<void> | undefined;
  lastTokenAt: Milliseconds | undefined;
  retryTimer: NodeJS.Timeout | undefined;
  resolve: (outcome: CompletionOutcome) => void;
  /** Tells the state machine and performs what it answers. */
  apply: (event: AttemptEvent) => void;
}
