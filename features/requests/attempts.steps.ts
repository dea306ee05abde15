/**
 * Steps for the properties of the attempt state machine and of the metrics.
 */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  advanceAttempt,
  createAttemptState,
  type AttemptAction,
  type AttemptEvent,
} from '../../src/controllers/attempts/index.js';
import { getConclusion, createFailure } from '../../src/core/errors/index.js';
import { createMetrics } from '../../src/core/metrics/index.js';

/** The observed result of playing one sequence of events. */
interface PlaybackResult {
  text: string;
  finalActions: number;
  /** Token count reported by the engine; undefined when the response was not finished. */
  countedTokens: number | undefined;
  actionsAfterFinal: number;
  saidNotRun: boolean;
  mayHaveRun: boolean;
  /** Attempts in progress when the request was abandoned or their stream was aborted. */
  abandoned: string[];
  cancelled: string[];
}

interface PropertyWorld {
  results: PlaybackResult[];
  exposition: string;
}

/** An attempt of another request. */
const FOREIGN_ATTEMPT = 'foreign';
const ANSWER = ['a', 'b', 'c', 'd', 'e'];
const SEED = 20_260_101;

const attempt = fc.constantFrom('t1', 't2', 't3');
const offset = fc.integer({ min: 0, max: ANSWER.length });
const failure = fc.constantFrom(
  createFailure('noCapacity', { name: 'm' }),
  createFailure('overloaded', { reason: 'full' }),
  createFailure('invalidRequest', { reason: 'odd' }),
  createFailure('outcomeUnknown', { reason: 'lost' }),
);

/** The attempt that a chunk belongs to; it may arrive on the stream of another attempt. */
const sender = fc.constantFrom('t1', 't2', 't3', FOREIGN_ATTEMPT);
const tokenOffset = fc.integer({ min: 0, max: ANSWER.length - 1 });
const chunk = fc.oneof(
  { weight: 8, arbitrary: fc.record({ attempt: sender, sequence: tokenOffset }).map(createToken) },
  fc.record({ attempt, sequence: offset }).map((mark) => ({
    kind: 'end' as const,
    reason: 'stop' as const,
    promptTokens: 1,
    cachedTokens: 0,
    ...mark,
  })),
  fc.record({ attempt, sequence: offset }).map((at) => ({
    kind: 'error' as const,
    reason: 'broke',
    ...at,
  })),
);

const end = fc.constantFrom(
  { kind: 'notSent' as const, reason: 'refused' },
  { kind: 'refused' as const, reason: 'full' },
  { kind: 'lost' as const, reason: 'reset' },
  { kind: 'cut' as const, reason: 'reset', received: 0 },
);

const event: fc.Arbitrary<AttemptEvent> = fc.oneof(
  { weight: 6, arbitrary: attempt.map((name) => ({ kind: 'sent' as const, attempt: name })) },
  {
    weight: 30,
    arbitrary: fc.record({ attempt, chunk }).map((at) => ({ kind: 'chunk' as const, ...at })),
  },
  {
    weight: 4,
    arbitrary: fc.record({ attempt, end }).map((at) => ({ kind: 'ended' as const, ...at })),
  },
  {
    weight: 6,
    arbitrary: fc.constant<AttemptEvent>({
      kind: 'decided',
      decision: { kind: 'resume', afterMs: 0, exclude: 'r', from: 0 },
    }),
  },
  failure.map((one) => ({ kind: 'decided', decision: { kind: 'answer', failure: one } }) as const),
  failure.map((one) => ({ kind: 'refused', failure: one }) as const),
  fc.constant<AttemptEvent>({ kind: 'callerGone' }),
  fc.constant<AttemptEvent>({ kind: 'deadline' }),
);

/** Tokens in order, so that complete responses occur often enough. */
const tokenRun = fc
  .tuple(attempt, offset, fc.boolean())
  .map(([name, from, ended]): AttemptEvent[] => {
    const tokens = ANSWER.slice(from).map((_, index) =>
      createToken({ attempt: name, sequence: from + index }),
    );
    const endChunk = {
      kind: 'end' as const,
      attempt: name,
      sequence: ANSWER.length,
      reason: 'stop' as const,
      promptTokens: 1,
      cachedTokens: 0,
    };
    const chunks = ended ? [...tokens, endChunk] : tokens;
    return [
      { kind: 'sent', attempt: name },
      ...chunks.map((one) => ({ kind: 'chunk' as const, attempt: name, chunk: one })),
    ];
  });

const eventSequence = fc
  .array(fc.oneof({ weight: 4, arbitrary: event.map((one) => [one]) }, tokenRun), { maxLength: 24 })
  .map((parts) => parts.flat());

When(
  '{int} random orders of attempt events are played',
  function (this: PropertyWorld, count: number) {
    this.results = fc.sample(eventSequence, { numRuns: count, seed: SEED }).map(playEvents);
    const finished = this.results.filter((result) => result.countedTokens !== undefined).length;
    const failed = this.results.filter((result) => result.finalActions > 0).length - finished;
    assert.ok(
      finished > count / 50 && failed > count / 50,
      `${finished} finished, ${failed} failed`,
    );
  },
);

Then(
  'every request got at most one final answer and nothing after it',
  function (this: PropertyWorld) {
    for (const result of this.results) {
      assert.ok(result.finalActions <= 1);
      assert.equal(result.actionsAfterFinal, 0);
    }
  },
);

Then(
  'every relayed text is the start of the right answer, without holes or repeats',
  function (this: PropertyWorld) {
    for (const { text } of this.results) assert.ok(ANSWER.join('').startsWith(text), text);
  },
);

Then('every finished answer is whole', function (this: PropertyWorld) {
  const finished = this.results.filter((result) => result.countedTokens !== undefined);
  for (const { text, countedTokens } of finished) assert.equal(text.length, countedTokens);
});

Then(
  'no request of which an attempt may have run is told that it was not run',
  function (this: PropertyWorld) {
    for (const result of this.results) assert.ok(!(result.saidNotRun && result.mayHaveRun));
  },
);

Then(
  'every attempt that was given up while under way was cancelled',
  function (this: PropertyWorld) {
    for (const result of this.results) assert.deepEqual(result.cancelled, result.abandoned);
  },
);

When('{int} workspaces are timed', async function (this: PropertyWorld, count: number) {
  const metrics = createMetrics();
  for (let index = 0; index < count; index += 1) {
    metrics.timingsOf(`market-${index}`, 'gate').whole(10);
  }
  this.exposition = await metrics.render();
});

Then(
  'the metrics name at most {int} workspaces, one of them {string}',
  function (this: PropertyWorld, most: number, other: string) {
    const names = [...this.exposition.matchAll(/workspace="([^"]+)"/g)].map(([, name]) => name);
    const distinct = new Set(names);
    assert.ok(distinct.size <= most && distinct.has(other));
  },
);

function createToken(at: { attempt: string; sequence: number }): {
  kind: 'token';
  attempt: string;
  sequence: number;
  text: string;
} {
  return {
    kind: 'token',
    ...at,
    text: at.attempt === FOREIGN_ATTEMPT ? '?' : (ANSWER[at.sequence] ?? ''),
  };
}

/** Plays `events` and records what the caller and the engines would observe. */
function playEvents(events: readonly AttemptEvent[]): PlaybackResult {
  const state = createAttemptState();
  const result: PlaybackResult = {
    text: '',
    finalActions: 0,
    countedTokens: undefined,
    actionsAfterFinal: 0,
    saidNotRun: false,
    mayHaveRun: false,
    abandoned: [],
    cancelled: [],
  };
  for (const event of events) {
    const previousAttempt = state.attempt;
    const hasFinished = result.finalActions > 0;
    const actions = advanceAttempt(state, event);
    if (hasFinished) result.actionsAfterFinal += actions.length;
    recordMayHaveRun(result, event, previousAttempt, state.attempt);
    if (previousAttempt !== undefined && isAbandoned(event, actions))
      result.abandoned.push(previousAttempt);
    for (const action of actions) recordAction(result, action);
  }
  return result;
}

/** An attempt that ended without proof that it did not start may have run. */
function recordMayHaveRun(
  result: PlaybackResult,
  event: AttemptEvent,
  previousAttempt: string | undefined,
  currentAttempt: string | undefined,
): void {
  if (previousAttempt === undefined || previousAttempt === currentAttempt) return;
  if (event.kind === 'ended' && (event.end.kind === 'notSent' || event.end.kind === 'refused'))
    return;
  if (event.kind === 'refused') return;
  result.mayHaveRun = true;
}

/** Whether the engine may still be running the attempt that `event` took out of the state. */
function isAbandoned(event: AttemptEvent, actions: readonly AttemptAction[]): boolean {
  if (event.kind === 'callerGone' || event.kind === 'deadline') return true;
  if (event.kind === 'ended') return event.end.kind === 'lost' && actions.length > 0;
  return event.kind === 'chunk' && actions.some(({ kind }) => kind === 'decide');
}

function recordAction(result: PlaybackResult, action: AttemptAction): void {
  switch (action.kind) {
    case 'relay':
      result.text += action.text;
      return;
    case 'finish':
      result.finalActions += 1;
      result.countedTokens = action.tokens.completion;
      return;
    case 'fail': {
      result.finalActions += 1;
      const conclusion = getConclusion(action.failure);
      result.saidNotRun = conclusion === 'notRun' || conclusion === 'refused';
      return;
    }
    case 'cancel':
      result.cancelled.push(action.attempt);
      return;
    case 'decide':
    case 'ask':
      return;
  }
}
