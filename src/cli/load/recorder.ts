/**
 * Histograms and counts of a load run, for each stream.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import type { Milliseconds } from '../../core/clock/index.js';

/** How one request ended, as its caller saw it. */
export type LoadOutcome =
  | { kind: 'whole' }
  /** Answered with an error of the closed list, or an error event in the stream. */
  | { kind: 'error'; name: string }
  /** The answer ended without an end mark and without an error. */
  | { kind: 'cut' }
  /** No answer at all. */
  | { kind: 'unreachable'; reason: string }
  /** Not sent: this tool had too many requests in flight. */
  | { kind: 'notSent' };

/** Spans of one request; from its arrival time in the plan, not from when it was sent. */
export interface LoadSpans {
  firstTokenMs?: Milliseconds;
  gapsMs: readonly Milliseconds[];
  totalMs: Milliseconds;
}

/** Percentiles in milliseconds. */
export interface Percentiles {
  count: number;
  p50: Milliseconds;
  p95: Milliseconds;
  p99: Milliseconds;
  max: Milliseconds;
}

export interface StreamSummary {
  name: string;
  requests: number;
  whole: number;
  cut: number;
  unreachable: number;
  notSent: number;
  /** By error kind. */
  errors: Record<string, number>;
  firstToken: Percentiles;
  betweenTokens: Percentiles;
  total: Percentiles;
}

/** Collects what came of the requests. */
export interface Recorder {
  record(stream: string, outcome: LoadOutcome, spans: LoadSpans): void;
  summarise(): StreamSummary[];
}

interface StreamRecord {
  counts: Pick<StreamSummary, 'requests' | 'whole' | 'cut' | 'unreachable' | 'notSent'>;
  errors: Map<string, number>;
  firstToken: Histogram;
  betweenTokens: Histogram;
  total: Histogram;
}

const MICROSECONDS = 1_000;
const HIGHEST_MICROSECONDS = 3_600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** An empty recorder. */
export function createRecorder(): Recorder {
  const records = new Map<string, StreamRecord>();
  return {
    record: (stream, outcome, spans) => {
      const record = records.get(stream) ?? createStreamRecord();
      records.set(stream, record);
      countOutcome(record, outcome);
      if (outcome.kind === 'whole') recordSpans(record, spans);
    },
    summarise: () => [...records].map(([name, record]) => summariseStream(name, record)),
  };
}

function createStreamRecord(): StreamRecord {
  return {
    counts: { requests: 0, whole: 0, cut: 0, unreachable: 0, notSent: 0 },
    errors: new Map(),
    firstToken: createHistogram(),
    betweenTokens: createHistogram(),
    total: createHistogram(),
  };
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function countOutcome({ counts, errors }: StreamRecord, outcome: LoadOutcome): void {
  counts.requests += 1;
  if (outcome.kind === 'error') errors.set(outcome.name, (errors.get(outcome.name) ?? 0) + 1);
  else counts[outcome.kind] += 1;
}

function recordSpans(record: StreamRecord, spans: LoadSpans): void {
  recordSpan(record.total, spans.totalMs);
  if (spans.firstTokenMs !== undefined) recordSpan(record.firstToken, spans.firstTokenMs);
  for (const gap of spans.gapsMs) recordSpan(record.betweenTokens, gap);
}

function recordSpan(histogram: Histogram, span: Milliseconds): void {
  histogram.recordValue(Math.min(Math.round(span * MICROSECONDS), HIGHEST_MICROSECONDS));
}

function summariseStream(name: string, record: StreamRecord): StreamSummary {
  return {
    name,
    ...record.counts,
    errors: Object.fromEntries(record.errors),
    firstToken: readPercentiles(record.firstToken),
    betweenTokens: readPercentiles(record.betweenTokens),
    total: readPercentiles(record.total),
  };
}

function readPercentiles(histogram: Histogram): Percentiles {
  const read = (percentile: number): Milliseconds =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS;
  return {
    count: histogram.totalCount,
    p50: read(50),
    p95: read(95),
    p99: read(99),
    max: histogram.maxValue / MICROSECONDS,
  };
}
