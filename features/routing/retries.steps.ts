/**
 * Steps for retry decisions, with simulated time.
 */
import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  createRetryState,
  decideRetry,
  mayHaveRun,
  recordRequest,
  type AttemptEnd,
  type RetryDecision,
  type RetryContext,
} from '../../src/controllers/retries/index.js';
import { getConclusion } from '../../src/core/errors/index.js';
import { createRandom } from '../../src/core/random/index.js';

const SEED = 20_263;

interface RetryWorld {
  requests: number;
  retries: number;
  decisions: RetryDecision[];
}

interface AttemptSeries {
  ends: AttemptEnd[];
  repeatable: boolean;
  resumable: boolean;
  deadlineAt: number;
}

const attemptEnds: fc.Arbitrary<AttemptEnd> = fc.oneof(
  fc.constantFrom<AttemptEnd[]>(
    { kind: 'notSent', reason: 'no connection' },
    { kind: 'refused', reason: 'busy', retryAfterMs: 50 },
    { kind: 'lost', reason: 'reset' },
    { kind: 'failed', reason: 'error' },
  ),
  fc.nat(30).map((received): AttemptEnd => ({ kind: 'cut', reason: 'reset', received })),
);

const attemptSeries: fc.Arbitrary<AttemptSeries> = fc.record({
  ends: fc.array(attemptEnds, { minLength: 1, maxLength: 6 }),
  repeatable: fc.boolean(),
  resumable: fc.boolean(),
  deadlineAt: fc.nat(300),
});

interface AttemptStep {
  question: RetryContext;
  decision: RetryDecision;
  now: number;
}

/** Runs a request through its attempts in the same way as the request path. */
function runAttempts({ ends, repeatable, resumable, deadlineAt }: AttemptSeries): AttemptStep[] {
  const state = createRetryState();
  const random = createRandom(SEED);
  const steps: AttemptStep[] = [];
  let now = 0;
  let started = false;
  let received = 0;
  for (const [index, end] of ends.entries()) {
    const question: RetryContext = {
      end,
      target: `r${index}`,
      workspace: 'gates',
      repeatable,
      resumable,
      attempts: index + 1,
      deadlineAt,
      mayHaveRun: started,
      received,
    };
    const decision = decideRetry(state, question, now, random);
    steps.push({ question, decision, now });
    if (decision.kind === 'answer') return steps;
    started ||= mayHaveRun(end);
    if (end.kind === 'cut') received = Math.max(received, end.received);
    now += decision.afterMs + 10;
  }
  return steps;
}

function assertForAllSteps(holds: (step: AttemptStep) => boolean): void {
  const property = fc.property(attemptSeries, (series) => runAttempts(series).every(holds));
  fc.assert(property, { seed: SEED, numRuns: 500 });
}

Given('random series of attempts that end badly', function () {
  // The properties below generate the series.
});

Then('no final answer says "not run" when any attempt may have run', function () {
  assertForAllSteps(({ question, decision }) => {
    if (decision.kind !== 'answer') return true;
    const started = (question.mayHaveRun ?? false) || mayHaveRun(question.end);
    return !started || getConclusion(decision.failure) !== 'notRun';
  });
});

Then('no call that may not be repeated is retried after it may have run', function () {
  assertForAllSteps(({ question, decision }) => {
    if (question.repeatable || question.resumable || !mayHaveRun(question.end)) return true;
    return decision.kind === 'answer';
  });
});

Then('no retry starts past the deadline', function () {
  assertForAllSteps(({ question, decision, now }) =>
    decision.kind === 'answer' ? true : now + decision.afterMs < question.deadlineAt,
  );
});

Given(
  'a backend server that refuses {int} requests in {int} seconds',
  function (this: RetryWorld, requests: number, seconds: number) {
    const state = createRetryState();
    const random = createRandom(SEED);
    this.requests = requests;
    this.retries = 0;
    for (let index = 0; index < requests; index += 1) {
      const now = (index * seconds * 1_000) / requests;
      recordRequest(state, 'r0', 'gates', now);
      for (let attempts = 1; ; attempts += 1) {
        const question: RetryContext = {
          end: { kind: 'refused', reason: 'busy' },
          target: 'r0',
          workspace: 'gates',
          repeatable: true,
          resumable: true,
          attempts,
          deadlineAt: now + 60_000,
        };
        if (decideRetry(state, question, now, random).kind === 'answer') break;
        this.retries += 1;
      }
    }
  },
);

Then(
  'the retries stay below {float} of the requests',
  function (this: RetryWorld, fraction: number) {
    assert.ok(
      this.retries > 0 && this.retries < fraction * this.requests,
      `${this.retries} retries`,
    );
  },
);

function decideAfterCut(resumable: boolean): RetryDecision[] {
  const state = createRetryState();
  const question: RetryContext = {
    end: { kind: 'cut', reason: 'reset', received: 17 },
    target: 'r0',
    workspace: 'gates',
    repeatable: true,
    resumable,
    attempts: 1,
    deadlineAt: 10_000,
  };
  const lost: RetryContext = {
    ...question,
    end: { kind: 'lost', reason: 'reset' },
    attempts: 2,
    mayHaveRun: true,
    received: 17,
  };
  return [question, lost].map((each) => decideRetry(state, each, 0, createRandom(SEED)));
}

Given(
  'a completion that was cut after 17 tokens and lost on its second attempt',
  function (this: RetryWorld) {
    this.decisions = decideAfterCut(true);
  },
);

Given(
  'a completion that was cut after 17 tokens and can not be resumed',
  function (this: RetryWorld) {
    this.decisions = decideAfterCut(false);
  },
);

Then('both retries resume from token {int}', function (this: RetryWorld, token: number) {
  for (const decision of this.decisions) {
    assert.equal(decision.kind === 'resume' && decision.from, token);
  }
});

Then('the final answer is answerCut', function (this: RetryWorld) {
  for (const decision of this.decisions) {
    assert.equal(decision.kind === 'answer' && decision.failure.kind, 'answerCut');
  }
});
