/**
 * Properties of calls that may run only once.
 */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { Interleaving, isToldNotRun, type Draw, type Request } from './interleaving.js';

const RUNS = 2_500;
const STEPS = 120;
const SEED = 20_261;

interface InterleavingWorld {
  losses: boolean;
}

When(
  /^random orders of events befall once-calls, (with|without) entries lost$/,
  function (this: InterleavingWorld, losses: string) {
    this.losses = losses === 'with';
  },
);

Then(
  'no key has run twice and no request that was told so has run',
  { timeout: 60_000 },
  function (this: InterleavingWorld) {
    checkAll(this.losses, (run) => {
      const twice = run.journal.filter((key, index) => run.journal.indexOf(key) !== index);
      assert.deepEqual(twice, []);
      for (const request of run.requests) {
        if (isToldNotRun(request)) assert.equal(request.runs, 0, JSON.stringify(request));
      }
    });
  },
);

Then(
  'all replays of a key are the same bytes as its first answer',
  { timeout: 60_000 },
  function (this: InterleavingWorld) {
    checkAll(this.losses, (run) => {
      for (const key of new Set(run.requests.map((request) => request.key))) {
        const bodies = run.requests.filter((request) => request.key === key).map(readBody);
        const different = new Set(bodies.filter((body) => body !== undefined));
        assert.ok(different.size <= 1, [...different].join(' and '));
      }
    });
  },
);

Then(
  'a retry of each key is answered or told that its outcome is unknown',
  { timeout: 60_000 },
  function (this: InterleavingWorld) {
    checkAll(this.losses, (run) => {
      for (const { key } of run.requests.slice(-2)) {
        const request = run.request(2, key);
        run.heal();
        const { outcome } = request;
        const told = outcome?.kind === 'failed' ? outcome.failure.kind : outcome?.kind;
        assert.ok(told === 'answered' || told === 'outcomeUnknown', told);
      }
    });
  },
);

/** Draws orders of events, ends all faults, asks again for each key, and checks the whole. */
function checkAll(losses: boolean, check: (run: Interleaving) => void): void {
  const draws = fc.array(fc.nat(1_000_000), { minLength: STEPS, maxLength: 4 * STEPS });
  const property = fc.property(draws, (numbers) => {
    const run = new Interleaving({ losses });
    const draw = createDraw(numbers);
    for (let step = 0; step < STEPS; step += 1) run.step(draw);
    run.heal();
    for (const key of ['k0', 'k1']) {
      run.request(0, key);
      run.heal();
      run.request(1, key);
      run.heal();
    }
    check(run);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
}

/** Reads the drawn numbers one by one; after the last, every draw is 0. */
function createDraw(numbers: readonly number[]): Draw {
  let next = 0;
  return (bound) => {
    const number = numbers[next] ?? 0;
    next += 1;
    return number % bound;
  };
}

function readBody({ outcome }: Request): string | undefined {
  return outcome?.kind === 'answered' ? outcome.answer.body.join() : undefined;
}
