/**
 * Short runs of the fault injection soak test.
 */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { runSoak, type SoakReport } from '../../bench/soak/run.js';

interface SoakWorld {
  report: SoakReport;
}

/** Includes recovery and shutdown after the faults. */
const STEP_TIMEOUT_MS = 60_000;

When(
  '{int} gateways live through the faults of seed {int} for {int} seconds',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: SoakWorld, gateways: number, seed: number, seconds: number) {
    this.report = await runSoak({ seed, seconds, gateways });
  },
);

When(
  '{int} gateways live through the faults of seed {int} and restores of the store for {int} seconds',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: SoakWorld, gateways: number, seed: number, seconds: number) {
    this.report = await runSoak({ seed, seconds, gateways, withRestores: true });
    const { faults } = this.report;
    assert.ok(faults.some(({ kind }) => kind === 'restoreStore'));
  },
);

When(
  '{int} gateways live through the faults of seed {int} and lost links for {int} seconds',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: SoakWorld, gateways: number, seed: number, seconds: number) {
    this.report = await runSoak({ seed, seconds, gateways, withLinkCuts: true });
    assert.ok(this.report.faults.some(({ kind }) => kind === 'cutLinks'));
  },
);

When(
  '{int} gateways live through the faults of seed {int} and a part that crashes engines for {int} seconds',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: SoakWorld, gateways: number, seed: number, seconds: number) {
    this.report = await runSoak({ seed, seconds, gateways, withCrashingPart: true });
  },
);

When(
  '{int} gateways live through the faults of seed {int} and departures for {int} seconds',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: SoakWorld, gateways: number, seed: number, seconds: number) {
    this.report = await runSoak({ seed, seconds, gateways, withDepartures: true });
    assert.ok(this.report.faults.some(({ kind }) => kind === 'endlessAnswers'));
  },
);

Then('no promise was broken', function (this: SoakWorld) {
  const { breaches, faults } = this.report;
  assert.deepEqual(breaches, [], JSON.stringify(faults));
});
