/**
 * Drawn fleets whose engines crash under one part of prompts.
 */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { QuarantineFleet, type FleetPlan, type FleetResult } from './quarantine-fleet.js';

interface FleetWorld {
  played: { plan: FleetPlan; result: FleetResult }[];
  log(text: string): void;
}

const SEED = 48;

When(
  /^(\d+) fleets of (\d+) failure domains of (\d+) gateways meet a part that was (never answered|answered before) beside (different sound requests|one repeated sound request)$/,
  { timeout: 120_000 },
  function (
    this: FleetWorld,
    fleets: string,
    domains: string,
    size: string,
    history: string,
    sound: string,
  ) {
    const drawn = fc.record({
      seed: fc.integer({ min: 1, max: 1_000_000 }),
      crashingPerSecond: fc.integer({ min: 1, max: 15 }),
      soundPerSecond: fc.integer({ min: 10, max: 80 }),
      otherParts: fc.integer({ min: 1, max: 12 }),
      disturbancesPerSecond: fc.constantFrom(0, 0.5, 2),
    });
    const isSoundRepeated = sound === 'one repeated sound request';
    this.played = fc.sample(drawn, { numRuns: Number(fleets), seed: SEED }).map((draw) => {
      const wasSound = history === 'answered before';
      const scale = { domains: Number(domains), size: Number(size) };
      const otherCrashesPerSecond = isSoundRepeated ? 1 : 0;
      const plan = { ...draw, ...scale, wasSound, isSoundRepeated, otherCrashesPerSecond };
      return { plan, result: new QuarantineFleet(plan).play() };
    });
    const results = this.played.map(({ result }) => result);
    const crashes = results.map((each) => each.crashes).sort((a, b) => a - b);
    const held = results.reduce((sum, { sound }) => sum + sound.after.held, 0);
    const late = Math.max(...results.map(({ lateSendings }) => lateSendings));
    const median = crashes[Math.floor(crashes.length / 2)] ?? 0;
    this.log(
      `crashes: median ${median}, most ${crashes.at(-1) ?? 0}; most late: ${late}; held sound: ${held}`,
    );
  },
);

Then(
  'at most {int} sendings with the part by gateways in touch came later than 3000 ms after the fifth crash',
  function (this: FleetWorld, maxLate: number) {
    const broken = this.played.filter(({ result }) => result.lateSendings > maxLate);
    assert.deepEqual(broken, []);
  },
);

Then(
  'from 6000 ms after it on at least half of the sound requests were sent',
  function (this: FleetWorld) {
    const broken = this.played.filter(({ result }) => {
      const { sent, held } = result.sound.after;
      return 2 * held > sent;
    });
    assert.deepEqual(broken, []);
  },
);
