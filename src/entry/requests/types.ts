/**
 * What the request path is put together from, and what it offers to the rest of the entry.
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
import type { InFlight } from './attempt-tracker.js';
import type { LossWatch } from './replica-loss-monitor.js';
import type { OpenRequests } from './open-requests.js';
import type { PauseWatch } from './pause-detector.js';

/** What the request path needs of other parts. */
export interface RequestDependencies {
  services: Services;
  onceCalls: OnceCalls;
  eligible: EligibleReplicas;
  health: Pick<HealthPart, 'reportFailure' | 'reportAnswer'>;
  metrics: Metrics;
  /** Whether the entry has been ready for callers since its start, even if it is not now. */
  hasBeenReady: () => boolean;
  /** Reads configuration and the list of instances again, after the process stood still. */
  refresh?: () => Promise<void>;
}

/** What each request is served with. */
export interface RequestParts extends RequestDependencies {
  context: EntryContext;
  dispatcher: Dispatcher;
  inFlight: InFlight;
  losses: LossWatch;
  pauses: PauseWatch;
  admission: AdmissionGate;
  retries: RetryGate;
  open: OpenRequests;
}

/** The request path of one entry. */
export interface Requests extends Part {
  /** For the callers' listener. */
  path: RequestPath;
  /** From now on new requests are refused with `stopping`; those accepted go on. */
  beginStopping(): void;
  isStopping(): boolean;
  /** The grace of the stop is over: what ends from now on ends because the entry cuts it off. */
  noteCut(): void;
  /** Resolves when no accepted request is left; new ones may still come before `beginStopping`. */
  whenIdle(): Promise<void>;
}
