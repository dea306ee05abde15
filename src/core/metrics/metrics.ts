/**
 * Metrics of an entry in the Prometheus text format.
 *
 * Histograms are labeled by workspace and request class. The number of workspace labels is limited:
 * further workspaces share the label `other`, which bounds the cardinality of the time series.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Milliseconds } from '../clock/index.js';
import type { ErrorKind } from '../errors/index.js';
import type { BufferedBytesTracker } from '../buffered-bytes/index.js';

/** Histograms of one workspace and request class. Observed in milliseconds, exported in seconds. */
export interface RequestTimings {
  /** From arrival until the request is forwarded. */
  queue(span: Milliseconds): void;
  /** From arrival to the first token. */
  firstToken(span: Milliseconds): void;
  betweenTokens(span: Milliseconds): void;
  /** From arrival to the end of the response. */
  whole(span: Milliseconds): void;
}

/** Recorder of the metrics of an entry. */
export interface Metrics {
  /** Returns the cached histograms of a workspace and request class. */
  timingsOf(workspace: string, requestClass: string): RequestTimings;
  /** The label of a workspace; those beyond a fixed number share one. */
  workspaceLabel(workspace: string): string;
  /** Counts a request that ended in a failure of this kind. */
  countError(kind: ErrorKind): void;
  /** Counts an attempt other than the first of its request. */
  countRetry(): void;
  setInFlight(requests: number): void;
  /** Registry to which other components add their own metrics. */
  registry: Registry;
  /** Renders all metrics in the Prometheus text exposition format. */
  render(): Promise<string>;
}

/** Maximum number of workspaces with their own label value. */
export const MAX_WORKSPACE_LABELS = 64;
const OTHER_WORKSPACES = 'other';
const MS_PER_SECOND = 1_000;

const LATENCY_BUCKETS = [0.002, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 1.3, 2, 5, 10, 30];
const INTER_TOKEN_BUCKETS = [0.005, 0.01, 0.015, 0.02, 0.024, 0.028, 0.035, 0.05, 0.1, 0.25, 1];
const TOTAL_DURATION_BUCKETS = [0.01, 0.05, 0.1, 0.5, 1, 2, 5, 10, 30, 60, 300];

/** Statistics of timers that fire too late, as prom-client names them. */
const EVENT_LOOP_DELAYS = ['min', 'max', 'mean', 'stddev', 'p50', 'p90', 'p99'].map(
  (statistic) => `nodejs_eventloop_lag_${statistic}_seconds`,
);
/** Longest interval of the timer that prom-client samples those statistics with. */
const UNUSED_SAMPLING_MS: Milliseconds = 2 ** 31 - 1;

type Labels = 'workspace' | 'class';

interface MetricsOptions {
  /** Bytes to export as a gauge. */
  unreadBytes?: BufferedBytesTracker;
  /** Whether to sample the delays of the event loop, which wakes the process 100 times a second. */
  samplesEventLoop?: boolean;
}

/**
 * Creates the metrics of an entry or gateway in a new registry.
 *
 * @example createMetrics().timingsOf('market-east', 'gate').whole(480);
 */
export function createMetrics({
  unreadBytes,
  samplesEventLoop = true,
}: MetricsOptions = {}): Metrics {
  const registry = new Registry();
  collectProcessMetrics(registry, samplesEventLoop);
  const histograms = createHistograms(registry);
  const errors = new Counter({
    name: 'yuccasail_request_errors_total',
    help: 'Requests that ended in a failure, by its kind.',
    labelNames: ['kind'],
    registers: [registry],
  });
  const retries = new Counter({
    name: 'yuccasail_request_retries_total',
    help: 'Attempts made beyond the first of a request.',
    registers: [registry],
  });
  const inFlight = new Gauge({
    name: 'yuccasail_requests_in_flight',
    help: 'Requests accepted and not answered yet.',
    registers: [registry],
  });
  if (unreadBytes) registerUnreadBytes(registry, unreadBytes);
  const timings = new Map<string, RequestTimings>();
  const workspaces = new Set<string>();
  return {
    timingsOf: (workspace, requestClass) => {
      const label = limitWorkspaceLabel(workspaces, workspace);
      const key = `${label} ${requestClass}`;
      const existing = timings.get(key);
      if (existing) return existing;
      const created = bindTimings(histograms, label, requestClass);
      timings.set(key, created);
      return created;
    },
    workspaceLabel: (workspace) => limitWorkspaceLabel(workspaces, workspace),
    countError: (kind) => {
      errors.inc({ kind });
    },
    countRetry: () => {
      retries.inc();
    },
    setInFlight: (requests) => {
      inFlight.set(requests);
    },
    registry,
    render: () => registry.metrics(),
  };
}

function collectProcessMetrics(registry: Registry, samplesEventLoop: boolean): void {
  if (samplesEventLoop) {
    collectDefaultMetrics({ register: registry });
    return;
  }
  collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: UNUSED_SAMPLING_MS });
  for (const name of EVENT_LOOP_DELAYS) registry.removeSingleMetric(name);
}

function registerUnreadBytes(registry: Registry, unreadBytes: BufferedBytesTracker): void {
  new Gauge({
    name: 'yuccasail_unread_answer_bytes',
    help: 'Bytes of streams and downloads that wait in the entry until their callers read on.',
    registers: [registry],
    collect() {
      this.set(unreadBytes.total());
    },
  });
}

function limitWorkspaceLabel(knownWorkspaces: Set<string>, workspace: string): string {
  if (knownWorkspaces.has(workspace)) return workspace;
  if (knownWorkspaces.size >= MAX_WORKSPACE_LABELS) return OTHER_WORKSPACES;
  knownWorkspaces.add(workspace);
  return workspace;
}

type Histograms = Record<keyof RequestTimings, Histogram<Labels>>;

function createHistograms(registry: Registry): Histograms {
  const create = (name: string, help: string, buckets: number[]): Histogram<Labels> =>
    new Histogram({
      name: `yuccasail_request_${name}_seconds`,
      help,
      labelNames: ['workspace', 'class'],
      buckets,
      registers: [registry],
    });
  return {
    queue: create('queue', 'From arrival until the request was sent on.', LATENCY_BUCKETS),
    firstToken: create('first_token', 'From arrival to the first token.', LATENCY_BUCKETS),
    betweenTokens: create(
      'between_tokens',
      'Between two tokens of an answer.',
      INTER_TOKEN_BUCKETS,
    ),
    whole: create('whole', 'From arrival to the end of the answer.', TOTAL_DURATION_BUCKETS),
  };
}

function bindTimings(
  histograms: Histograms,
  workspace: string,
  requestClass: string,
): RequestTimings {
  const bind = (histogram: Histogram<Labels>): ((span: Milliseconds) => void) => {
    const child = histogram.labels({ workspace, class: requestClass });
    return (span) => {
      child.observe(span / MS_PER_SECOND);
    };
  };
  return {
    queue: bind(histograms.queue),
    firstToken: bind(histograms.firstToken),
    betweenTokens: bind(histograms.betweenTokens),
    whole: bind(histograms.whole),
  };
}
