/**
 * Steps that check at-most-once calls with random event orders.
 */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { Interleaving, wasReportedNotRun, type Draw, type Request } from './interleaving.js';

const RUNS = 2_500;
const STEPS = 120;
const SEED = 20_261;

interface InterleavingWorld {
  withEntryFailures: boolean;
}

When(
  /^once-calls are run with random event orders, (with|without) entry failures$/,
  function (this: InterleavingWorld, mode: string) {
    this.withEntryFailures = mode === 'with';
  },
);

Then(
  'no key has run twice and no request reported as not run has run',
  { timeout: 60_000 },
  function (this: InterleavingWorld) {
    checkInterleavings(this.withEntryFailures, (run) => {
      const duplicates = run.executedKeys.filter(
        (key, index) => run.executedKeys.indexOf(key) !== index,
      );
      assert.deepEqual(duplicates, []);
      for (const request of run.requests) {
        if (wasReportedNotRun(request))
          assert.equal(request.executions, 0, JSON.stringify(request));
      }
    });
  },
);

Then(
  'all replays of a key are the same bytes as its first answer',
  { timeout: 60_000 },
  function (this: InterleavingWorld) {
    checkInterleavings(this.withEntryFailures, (run) => {
      for (const key of new Set(run.requests.map((request) => request.key))) {
        const bodies = run.requests.filter((request) => request.key === key).map(readBody);
        const distinct = new Set(bodies.filter((body) => body !== undefined));
        assert.ok(distinct.size <= 1, [...distinct].join(' and '));
      }
    });
  },
);

Then(
  'a retry of each key is answered or told that its outcome is unknown',
  { timeout: 60_000 },
  function (this: InterleavingWorld) {
    checkInterleavings(this.withEntryFailures, (run) => {
      for (const { key } of run.requests.slice(-2)) {
        const request = run.request(2, key);
        run.runPendingEvents();
        const { outcome } = request;
        const result = outcome?.kind === 'failed' ? outcome.failure.kind : outcome?.kind;
        assert.ok(result === 'answered' || result === 'outcomeUnknown', result);
      }
    });
  },
);

/** Runs random event orders, ends all faults, retries each key and calls `check`. */
function checkInterleavings(entryFailures: boolean, check: (run: Interleaving) => void): void {
  const draws = fc.array(fc.nat(1_000_000), { minLength: STEPS, maxLength: 4 * STEPS });
  const property = fc.property(draws, (numbers) => {
    const run = new Interleaving({ entryFailures });
    const draw = createDraw(numbers);
    for (let step = 0; step < STEPS; step += 1) run.runRandomEvent(draw);
    run.runPendingEvents();
    for (const key of ['k0', 'k1']) {
      run.request(0, key);
      run.runPendingEvents();
      run.request(1, key);
      run.runPendingEvents();
    }
    check(run);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
}

/** Returns the numbers in order, then 0, each modulo the bound. */
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
