/**
 * The completions of one engine: admission to the batch, the token clock and the streams.
 */
import type { ServerResponse } from 'node:http';
import type { EngineRequest } from '../../adapters/engines/index.js';
import { estimateTokens, hashPrefixes } from '../../controllers/routing/index.js';
import type { Clock } from '../../core/clock/index.js';
import { expectedAnswer, type Answer } from './answers.js';
import type { CacheEventLog } from './cache-events.js';
import type { CompletionFault } from './control.js';
import { deliverEnd, deliverToken, type Delivery } from './delivery.js';
import { journalEntry, type AttemptEndReason, type JournaledAttempt } from './journal.js';
import { createLoadHistory, type LaggedFigures } from './load-history.js';
import { matchPrefix, storePrefixes, type PrefixCache } from './prefix-cache.js';
import {
  advanceScheduler,
  createScheduler,
  measureScheduler,
  removeJob,
  submitJob,
  type EmittedToken,
} from './scheduler.js';
import type { ResolvedSettings } from './settings.js';

/** The running completions of one engine. */
export interface Completions {
  /** Takes a request that has been found fit to run; the answer goes to `response`. */
  start(request: EngineRequest, response: ServerResponse): void;
  has(attempt: string): boolean;
  cancel: (attempt: string) => void;
  /** Breaks every stream off. */
  cutAll(reason: AttemptEndReason): void;
  inFlight(): number;
  /** More requests wait than the queue holds. */
  isFull(): boolean;
  load(): LaggedFigures;
  setSlowFactor(factor: number): void;
  addFaults(faults: readonly CompletionFault[]): void;
}

/** What the completions of an engine work with. */
export interface CompletionParts {
  settings: ResolvedSettings;
  clock: Clock;
  cache: PrefixCache;
  events: CacheEventLog;
  journal: JournaledAttempt[];
}

interface Stream {
  attempt: string;
  resumeFrom: number;
  fault: CompletionFault | undefined;
  answer: Answer;
  promptTokens: number;
  cachedTokens: number;
  response: ServerResponse;
  entry: JournaledAttempt;
}

/** An engine that reads a caller this far behind lets go of it. */
const MAX_UNREAD_BYTES = 1_048_576;
const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' };

/** The completions of an engine that starts without any. */
export function createCompletions(parts: CompletionParts): Completions {
  const { settings, clock, cache, events, journal } = parts;
  const { batchSize, prefillMsPerToken, decodeMsPerToken } = settings;
  const scheduler = createScheduler({
    batchSize,
    prefillMsPerToken,
    decodeMsPerToken,
    slowFactor: 1,
  });
  const history = createLoadHistory(settings.reportLagMs);
  const streams = new Map<string, Stream>();
  const faults: CompletionFault[] = [];
  let timer: NodeJS.Timeout | undefined;

  const settle = (): void => {
    const now = clock.now();
    history.record(measureScheduler(scheduler), now);
    clearTimeout(timer);
    if (scheduler.stepEndsAt === undefined) return;
    timer = setTimeout(tick, Math.max(0, scheduler.stepEndsAt - now));
  };
  const tick = (): void => {
    for (const token of advanceScheduler(scheduler, clock.now())) emit(token);
    settle();
  };
  const emit = (token: EmittedToken): void => {
    const stream = streams.get(token.id);
    if (!stream) return;
    const offset = token.emitted - 1;
    const text = stream.answer.tokens[stream.resumeFrom + offset] ?? '';
    stream.entry.firstTokenAt ??= Date.now();
    stream.entry.tokens = token.emitted;
    perform(stream, deliverToken(stream, offset, text));
    if (token.last && streams.has(token.id)) finish(stream);
  };
  const finish = (stream: Stream): void => {
    perform(
      stream,
      deliverEnd(stream, {
        kind: 'end',
        attempt: stream.attempt,
        sequence: stream.answer.tokens.length,
        reason: stream.answer.reason,
        promptTokens: stream.promptTokens,
        cachedTokens: stream.cachedTokens,
      }),
    );
  };
  const perform = (stream: Stream, delivery: Delivery): void => {
    switch (delivery.kind) {
      case 'nothing':
        return;
      case 'write':
        stream.response.write(delivery.data);
        if (stream.response.writableLength > MAX_UNREAD_BYTES) drop(stream, 'disconnected');
        return;
      case 'writeAndClose':
        forget(stream, stream.answer.reason);
        stream.response.end(delivery.data);
        return;
      case 'close':
        forget(stream, 'fault');
        stream.response.end();
        return;
      case 'cut':
        drop(stream, 'fault');
        return;
    }
  };
  const forget = (stream: Stream, reason: AttemptEndReason): void => {
    streams.delete(stream.attempt);
    removeJob(scheduler, stream.attempt);
    stream.entry.end = reason;
    stream.entry.endedAt = Date.now();
  };
  const drop = (stream: Stream, reason: AttemptEndReason): void => {
    forget(stream, reason);
    stream.response.destroy();
  };
  const open = (request: EngineRequest, response: ServerResponse): Stream => {
    const prefixes = hashPrefixes(request.messages);
    const cachedTokens = matchPrefix(cache, prefixes);
    events.record(storePrefixes(cache, prefixes), clock.now());
    const entry = describeAttempt(request);
    journalEntry(journal, entry);
    return {
      attempt: request.attempt,
      resumeFrom: request.resumeFrom,
      fault: faults.shift(),
      answer: expectedAnswer(request),
      promptTokens: estimateTokens(request.messages),
      cachedTokens,
      response,
      entry,
    };
  };

  return {
    start: (request, response) => {
      const stream = open(request, response);
      streams.set(stream.attempt, stream);
      // A caller that closes its connection frees its place in the batch at once.
      response.once('close', () => {
        if (streams.get(stream.attempt) !== stream) return;
        forget(stream, 'disconnected');
        settle();
      });
      if (stream.fault?.kind === 'neverAnswer') return;
      if (stream.fault?.kind === 'resetBeforeAnswer') {
        drop(stream, 'fault');
        return;
      }
      response.writeHead(200, STREAM_HEADERS).flushHeaders();
      const outputTokens = stream.answer.tokens.length - stream.resumeFrom;
      if (outputTokens <= 0) {
        finish(stream);
        return;
      }
      const prefillTokens = Math.max(0, stream.promptTokens - stream.cachedTokens);
      const { priority } = request;
      submitJob(
        scheduler,
        { id: stream.attempt, priority, prefillTokens, outputTokens },
        clock.now(),
      );
      settle();
    },
    has: (attempt) => streams.has(attempt),
    cancel: (attempt) => {
      const stream = streams.get(attempt);
      if (!stream) return;
      drop(stream, 'cancelled');
      settle();
    },
    cutAll: (reason) => {
      for (const stream of [...streams.values()]) drop(stream, reason);
      settle();
    },
    inFlight: () => streams.size,
    isFull: () => scheduler.waiting.length >= settings.queueLength,
    load: () => history.read(clock.now()),
    setSlowFactor: (factor) => {
      scheduler.speed.slowFactor = factor;
    },
    addFaults: (added) => {
      faults.push(...added);
    },
  };
}

function describeAttempt(request: EngineRequest): JournaledAttempt {
  const { attempt, model, replica, fence, priority, resumeFrom } = request;
  return { attempt, model, replica, fence, priority, resumeFrom, startedAt: Date.now(), tokens: 0 };
}
