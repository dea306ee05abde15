/**
 * The completions of one engine: the batch, its token clock and the prefix cache.
 */
import type { ServerResponse } from 'node:http';
import type { EngineRequest } from '../../adapters/engines/index.js';
import { estimateTokens, hashPrefixes } from '../../controllers/routing/index.js';
import type { Clock } from '../../core/clock/index.js';
import { expectedAnswer } from './answers.js';
import type { CacheEventLog } from './cache-events.js';
import type { CompletionFault } from './control.js';
import { journalEntry, type AttemptEndReason, type JournaledAttempt } from './journal.js';
import { createLoadHistory, type LaggedFigures } from './load-history.js';
import { matchPrefix, storePrefixes, type PrefixCache } from './prefix-cache.js';
import {
  advanceScheduler,
  createScheduler,
  measureScheduler,
  removeJob,
  submitJob,
  type Job,
} from './scheduler.js';
import type { ResolvedSettings } from './settings.js';
import { createStreams, type Stream } from './streams.js';

/** The running completions of one engine. */
interface Completions {
  /** Takes a request that has been found fit to run; the answer goes to `response`. */
  start(request: EngineRequest, response: ServerResponse): void;
  has(attempt: string): boolean;
  cancel: (attempt: string) => void;
  /** Breaks every stream off. */
  cutAll(reason: AttemptEndReason): void;
  inFlight(): number;
  /** As many requests wait as the queue holds. */
  isFull(): boolean;
  load(): LaggedFigures;
  setSlowFactor(factor: number): void;
  addFaults(faults: readonly CompletionFault[]): void;
}

/** What the completions of an engine work with. */
interface CompletionParts {
  settings: ResolvedSettings;
  clock: Clock;
  cache: PrefixCache;
  events: CacheEventLog;
  journal: JournaledAttempt[];
}

const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' };

/** The completions of an engine that starts without any. */
export function createCompletions(parts: CompletionParts): Completions {
  const { settings, clock } = parts;
  const { batchSize, prefillMsPerToken, decodeMsPerToken } = settings;
  const speed = { batchSize, prefillMsPerToken, decodeMsPerToken, slowFactor: 1 };
  const scheduler = createScheduler(speed);
  const history = createLoadHistory(settings.reportLagMs);
  const streams = createStreams((attempt) => {
    removeJob(scheduler, attempt);
    settle();
  });
  const faults: CompletionFault[] = [];
  let timer: NodeJS.Timeout | undefined;

  // One timer for the engine, set to the end of the step in progress.
  const settle = (): void => {
    const now = clock.now();
    history.record(measureScheduler(scheduler), now);
    clearTimeout(timer);
    if (scheduler.stepEndsAt === undefined) return;
    timer = setTimeout(tick, Math.max(0, scheduler.stepEndsAt - now));
  };
  const tick = (): void => {
    for (const token of advanceScheduler(scheduler, clock.now())) streams.emit(token);
    settle();
  };

  return {
    start: (request, response) => {
      const stream = openStream(parts, request, response, faults.shift());
      streams.add(stream);
      if (stream.fault?.kind === 'neverAnswer') return;
      if (stream.fault?.kind === 'resetBeforeAnswer') {
        streams.drop(stream.attempt, 'fault');
        return;
      }
      response.writeHead(200, STREAM_HEADERS).flushHeaders();
      const job = describeJob(stream, request.priority);
      if (job.outputTokens <= 0) {
        streams.finish(stream.attempt);
        return;
      }
      submitJob(scheduler, job, clock.now());
      settle();
    },
    has: (attempt) => streams.has(attempt),
    cancel: (attempt) => {
      streams.drop(attempt, 'cancelled');
    },
    cutAll: (reason) => {
      streams.dropAll(reason);
    },
    inFlight: () => streams.count(),
    isFull: () => scheduler.waiting.length >= settings.queueLength,
    load: () => history.read(clock.now()),
    setSlowFactor: (factor) => {
      speed.slowFactor = factor;
    },
    addFaults: (added) => {
      faults.push(...added);
    },
  };
}

/** Looks the prompt up in the prefix cache, which then holds it, and enters it in the journal. */
function openStream(
  { clock, cache, events, journal }: CompletionParts,
  request: EngineRequest,
  response: ServerResponse,
  fault: CompletionFault | undefined,
): Stream {
  const prefixes = hashPrefixes(request.messages);
  const cachedTokens = matchPrefix(cache, prefixes);
  events.record(storePrefixes(cache, prefixes), clock.now());
  const { attempt, model, replica, fence, priority, resumeFrom } = request;
  const startedAt = Date.now();
  const entry = { attempt, model, replica, fence, priority, resumeFrom, startedAt, tokens: 0 };
  journalEntry(journal, entry);
  const promptTokens = estimateTokens(request.messages);
  const answer = expectedAnswer(request);
  return { attempt, resumeFrom, fault, answer, promptTokens, cachedTokens, response, entry };
}

function describeJob(stream: Stream, priority: number): Job {
  return {
    id: stream.attempt,
    priority,
    prefillTokens: Math.max(0, stream.promptTokens - stream.cachedTokens),
    outputTokens: stream.answer.tokens.length - stream.resumeFrom,
  };
}
