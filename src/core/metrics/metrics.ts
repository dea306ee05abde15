/**
 * What an entry counts and times, in the Prometheus text format.
 *
 * Every histogram is kept for each workspace and class. The number of label values is bounded:
 * names beyond the bound are counted together as `other`, so that no caller and no stream of
 * configuration changes can fill the memory of the entry or of the metrics store.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Milliseconds } from '../clock/index.js';
import type { ErrorKind } from '../errors/index.js';
import type { HeldBytes } from '../held-bytes/index.js';

/** The histograms of one workspace and class. All take milliseconds and export seconds. */
export interface RequestTimings {
  /** From arrival until it was sent on. */
  queue(span: Milliseconds): void;
  /** From arrival to the first token. */
  firstToken(span: Milliseconds): void;
  betweenTokens(span: Milliseconds): void;
  /** From arrival to the end of the answer. */
  whole(span: Milliseconds): void;
}

/** What the parts of an entry report to. */
export interface Metrics {
  /** Timings of one workspace and class; cheap to ask for with each request. */
  timingsOf(workspace: string, requestClass: string): RequestTimings;
  /** A request ended in a failure of the closed list. */
  countError(kind: ErrorKind): void;
  /** An attempt was made beyond a request's first. */
  countRetry(): void;
  setInFlight(requests: number): void;
  /** For metrics of other parts. */
  registry: Registry;
  /** The text exposition. */
  render(): Promise<string>;
}

/** Workspaces with histograms of their own. */
export const MAX_WORKSPACE_LABELS = 64;
const OTHER = 'other';
const MS_PER_SECOND = 1_000;

const WAIT_BUCKETS = [0.002, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 1.3, 2, 5, 10, 30];
const BETWEEN_BUCKETS = [0.005, 0.01, 0.015, 0.02, 0.024, 0.028, 0.035, 0.05, 0.1, 0.25, 1];
const WHOLE_BUCKETS = [0.01, 0.05, 0.1, 0.5, 1, 2, 5, 10, 30, 60, 300];

type Labels = 'workspace' | 'class';

/**
 * Metrics of one entry, in a registry of their own; with a gauge of `unread` where it is counted.
 *
 * @example createMetrics().timingsOf('market-east', 'gate').whole(480);
 */
export function createMetrics(unread?: HeldBytes): Metrics {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
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
  if (unread) registerUnread(registry, unread);
  const timings = new Map<string, RequestTimings>();
  const workspaces = new Set<string>();
  return {
    timingsOf: (workspace, requestClass) => {
      const label = boundLabel(workspaces, workspace);
      const key = `${label} ${requestClass}`;
      const known = timings.get(key);
      if (known) return known;
      const created = bindTimings(histograms, label, requestClass);
      timings.set(key, created);
      return created;
    },
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

function registerUnread(registry: Registry, unread: HeldBytes): void {
  new Gauge({
    name: 'yuccasail_unread_answer_bytes',
    help: 'Bytes of streams and downloads that wait in the entry until their callers read on.',
    registers: [registry],
    collect() {
      this.set(unread.sum());
    },
  });
}

function boundLabel(known: Set<string>, workspace: string): string {
  if (known.has(workspace)) return workspace;
  if (known.size >= MAX_WORKSPACE_LABELS) return OTHER;
  known.add(workspace);
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
    queue: create('queue', 'From arrival until the request was sent on.', WAIT_BUCKETS),
    firstToken: create('first_token', 'From arrival to the first token.', WAIT_BUCKETS),
    betweenTokens: create('between_tokens', 'Between two tokens of an answer.', BETWEEN_BUCKETS),
    whole: create('whole', 'From arrival to the end of the answer.', WHOLE_BUCKETS),
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
