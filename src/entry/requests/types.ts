/**
 * Types of the request path: its dependencies, its shared components and its public interface.
 */
import type { RequestPath } from '../../adapters/callers/index.js';
import type { Services } from '../../adapters/services/index.js';
import type { OnceCalls } from '../../controllers/calls/types.js';
import type { EligibleReplicas } from '../../controllers/health/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { HealthPart } from '../health/index.js';
import type { EntryContext, Part } from '../types.js';
import type { Dispatcher } from './dispatcher.js';
import type { AdmissionGate, RetryGate } from './gates.js';
import type { AttemptTracker } from './attempt-tracker.js';
import type { ReplicaLossMonitor } from './replica-loss-monitor.js';
import type { OpenRequests } from './open-requests.js';
import type { PauseDetector } from './pause-detector.js';
import type { RequestQuarantine } from './request-quarantine.js';

/** Dependencies of the request path on other parts of the entry. */
export interface RequestDependencies {
  services: Services;
  onceCalls: OnceCalls;
  eligible: EligibleReplicas;
  health: Pick<HealthPart, 'reportFailure' | 'reportAnswer'>;
  quarantine: RequestQuarantine;
  metrics: Metrics;
  /** Whether the entry has been ready for callers at any time since it started. */
  hasBeenReady: () => boolean;
  /** Reloads the configuration and the list of instances after the process was paused. */
  refresh?: () => Promise<void>;
}

/** Components that all requests share. */
export interface RequestParts extends RequestDependencies {
  context: EntryContext;
  dispatcher: Dispatcher;
  attemptTracker: AttemptTracker;
  lossMonitor: ReplicaLossMonitor;
  pauseDetector: PauseDetector;
  admission: AdmissionGate;
  retries: RetryGate;
  openRequests: OpenRequests;
}

/** The request path of one entry. */
export interface Requests extends Part {
  /** Request handlers for the callers' listener. */
  path: RequestPath;
  /** Refuses new requests with `stopping`; accepted requests continue. */
  beginStopping(): void;
  isStopping(): boolean;
  /** Marks the shutdown grace period as over: requests aborted after this were cut by the entry. */
  markGracePeriodOver(): void;
  /** Resolves when no request is open; new ones may still arrive before `beginStopping`. */
  whenIdle(): Promise<void>;
}
