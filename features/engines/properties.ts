/**
 * Properties of the pure parts of the engine client and the engine stand-in.
 */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import { createChunkSequence } from '../../src/adapters/engines/chunk-sequence.js';
import type { EngineChunk } from '../../src/adapters/engines/index.js';
import {
  advanceScheduler,
  createScheduler,
  removeJob,
  submitJob,
} from '../../src/stand-ins/engine/scheduler.js';

const SEED = 20_251_202;

/** Whatever arrives: what is passed on is 0, 1, 2, … and at most one end, which names the count. */
export function checkChunkSequence(streams: number): void {
  const attempt = fc.constantFrom('mine', 'mine', 'mine', 'foreign');
  const sequence = fc.nat(6);
  const chunk: fc.Arbitrary<EngineChunk> = fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        kind: fc.constant('token' as const),
        attempt,
        sequence,
        text: fc.constant('x'),
      }),
    },
    fc.record({
      kind: fc.constant('end' as const),
      attempt,
      sequence,
      reason: fc.constant('stop' as const),
      promptTokens: fc.constant(1),
      cachedTokens: fc.constant(0),
    }),
  );
  fc.assert(
    fc.property(fc.array(chunk, { maxLength: 30 }), (chunks) => {
      const judge = createChunkSequence('mine', 0);
      const passed: EngineChunk[] = [];
      for (const each of chunks) {
        const verdict = judge.judge(each);
        if (verdict.kind === 'broken') break;
        if (verdict.kind === 'pass') passed.push(each);
      }
      assert.deepEqual(
        passed.map((each) => each.sequence),
        passed.map((_, index) => index),
      );
      assert.ok(passed.every((each) => each.attempt === 'mine'));
      assert.ok(passed.slice(0, -1).every((each) => each.kind === 'token'));
    }),
    { seed: SEED, numRuns: streams },
  );
}

type Step =
  | { kind: 'submit'; priority: number; prefillTokens: number; outputTokens: number }
  | { kind: 'remove'; job: number }
  | { kind: 'advance'; ms: number };

/** Never more than the batch runs; a job gets each token once; all end when time goes on. */
export function checkScheduler(runs: number): void {
  const step: fc.Arbitrary<Step> = fc.oneof(
    fc.record({
      kind: fc.constant('submit' as const),
      priority: fc.nat(9),
      prefillTokens: fc.nat(2_000),
      outputTokens: fc.integer({ min: 1, max: 20 }),
    }),
    fc.record({ kind: fc.constant('remove' as const), job: fc.nat(20) }),
    fc.record({ kind: fc.constant('advance' as const), ms: fc.nat(100) }),
  );
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), runScheduler), {
    seed: SEED,
    numRuns: runs,
  });
}

function runScheduler(steps: readonly Step[]): void {
  const batchSize = 4;
  const speed = { batchSize, prefillMsPerToken: 0.01, decodeMsPerToken: 3, slowFactor: 1 };
  const scheduler = createScheduler(speed);
  const wanted = new Map<string, number>();
  const got = new Map<string, number>();
  let now = 0;
  const advance = (ms: number): void => {
    now += ms;
    for (const token of advanceScheduler(scheduler, now)) {
      assert.equal(token.emitted, (got.get(token.id) ?? 0) + 1);
      assert.equal(token.last, token.emitted === wanted.get(token.id));
      got.set(token.id, token.emitted);
    }
  };
  for (const step of steps) {
    if (step.kind === 'advance') advance(step.ms);
    if (step.kind === 'remove' && removeJob(scheduler, `job-${step.job}`)) {
      wanted.delete(`job-${step.job}`);
    }
    if (step.kind === 'submit') {
      const { priority, prefillTokens, outputTokens } = step;
      const id = `job-${scheduler.arrivals}`;
      wanted.set(id, outputTokens);
      submitJob(scheduler, { id, priority, prefillTokens, outputTokens }, now);
    }
    assert.ok(scheduler.running.size <= batchSize);
  }
  while (scheduler.stepEndsAt !== undefined) advance(scheduler.stepEndsAt - now);
  for (const [id, tokens] of wanted) assert.equal(got.get(id), tokens);
  assert.equal(scheduler.running.size + scheduler.waiting.length, 0);
}
