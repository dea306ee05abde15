/**
 * The judge of what a woken engine begins, on journals that are written here.
 */
import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import type { AttemptEndReason } from '../../src/stand-ins/engine/journal.js';
import { isGivenUp, type Evidence, type JournaledAttempt } from './replica-observer.js';

interface JudgeWorld {
  woken: JournaledAttempt;
  evidence: Evidence;
}

const WOKE_AT = 1_000;
const BEGAN_AT = 1_005;

Given(
  'an attempt {string} that a woken engine began and ended as {string}',
  function (this: JudgeWorld, attempt: string, end: AttemptEndReason) {
    this.woken = { ...createAttempt(attempt, BEGAN_AT), endedAt: BEGAN_AT + 17, end };
  },
);

Given(
  /^attempt "([^"]+)" had begun elsewhere (before|after) it$/,
  function (this: JudgeWorld, attempt: string, order: 'before' | 'after') {
    const other = createAttempt(attempt, BEGAN_AT + (order === 'before' ? -500 : 1));
    const journals = [this.woken, other].map((one, index): Evidence['journals'] => {
      const journal = { instance: `${index}`, incarnation: `${index}`, orders: [], states: [] };
      return new Map([[journal.instance, [{ ...journal, attempts: [one] }]]]);
    });
    const joined = new Map(journals.flatMap((each) => [...each]));
    this.evidence = { journals: joined, plans: [], ends: new Map() };
  },
);

Then(/^the attempt counts as (given up|not given up)$/, function (this: JudgeWorld, verdict) {
  assert.equal(isGivenUp(this.evidence, this.woken, WOKE_AT), verdict === 'given up');
});

function createAttempt(attempt: string, startedAt: number): JournaledAttempt {
  return {
    attempt,
    model: 'small',
    replica: 'replica-1',
    fence: 1,
    priority: 1,
    resumeFrom: 0,
    startedAt,
    tokens: 0,
  };
}
