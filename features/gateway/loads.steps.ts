/**
 * Counts the loads of weights that engines begin in a modelled fleet.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { LoadsFleet, type LoadsFleetPlan, type LoadsTrouble } from './loads-fleet.js';

interface LoadsWorld {
  plan: LoadsFleetPlan;
  gateways: number;
  fleet: LoadsFleet;
}

/** Fleets with the limits that sites of their size name. */
const PLANS: Readonly<Record<number, LoadsFleetPlan>> = {
  7: { gateways: 7, domains: 6, enginesPerDomain: 10, loadsAtOnce: 7, loadsPerSecond: 5 },
  85: { gateways: 85, domains: 9, enginesPerDomain: 19, loadsAtOnce: 21, loadsPerSecond: 14 },
  300: { gateways: 300, domains: 30, enginesPerDomain: 20, loadsAtOnce: 75, loadsPerSecond: 50 },
};
const SEED = 541;
const CEILING_WINDOW_MS = 5_000;
const BURST_FACTOR = 1.1;
const SLACK = 3;
/** Time that the fleet has before its first request. */
const LEAD_MS = 14_000;
const CALM: LoadsTrouble = { lateOrders: 0, newsMs: 800 };

const TROUBLES: Readonly<Record<string, LoadsTrouble>> = {
  'many gateways restart again and again, and orders are late': { lateOrders: 0.5, newsMs: 800 },
  'news is old and orders are late while engines are replaced': { lateOrders: 0.5, newsMs: 4_000 },
};

const PLAYS: Readonly<Record<string, (fleet: LoadsFleet, gateways: number) => Promise<void>>> = {
  'all gateways restart after engines were replaced': async (fleet, gateways) => {
    for (let round = 0; round < 5; round += 1) {
      fleet.replaceEngines(0.15);
      await fleet.run(2_500);
    }
    fleet.restart(0, gateways);
    await fleet.run(6_000);
  },
  'gateways restart one after another while engines are replaced': async (fleet, gateways) => {
    for (let index = 0; index < gateways; index += 1) {
      if (index % 7 === 0) fleet.replaceEngines(0.1);
      fleet.restart(index, 1);
      await fleet.run(700);
    }
  },
  'many gateways restart again and again, and orders are late': async (fleet, gateways) => {
    const many = Math.ceil(gateways * 0.6);
    for (let round = 0; round < 6; round += 1) {
      fleet.replaceEngines(0.1);
      fleet.restart(((round % 2) * gateways) / 2, many);
      await fleet.run(3_500);
    }
  },
  'news is old and orders are late while engines are replaced': async (fleet) => {
    for (let round = 0; round < 8; round += 1) {
      fleet.replaceEngines(0.1);
      await fleet.run(3_000);
    }
  },
  'half of the engines are replaced at once, again and again': async (fleet) => {
    for (let round = 0; round < 3; round += 1) {
      fleet.replaceEngines(0.5);
      await fleet.run(7_000);
    }
  },
};

/** Time in which most of what was lost is loaded again, within the ceiling. */
const MAX_RECOVERY_MS = 150_000;
const RECOVERY_STEP_MS = 5_000;

Given(
  'a modelled fleet of {int} gateways with traffic',
  function (this: LoadsWorld, gateways: number) {
    const plan = PLANS[gateways];
    assert.ok(plan);
    this.plan = plan;
  },
);

When(/^for a while (.+)$/, { timeout: 180_000 }, async function (this: LoadsWorld, name: string) {
  const play = PLAYS[name];
  assert.ok(play);
  this.fleet = new LoadsFleet(this.plan, TROUBLES[name] ?? CALM, SEED);
  await this.fleet.run(LEAD_MS);
  this.fleet.beginTraffic();
  await this.fleet.run(2_000);
  assert.ok(this.fleet.groupsOpen > 0, 'replicas must be open before the trouble');
  await play(this.fleet, this.plan.gateways);
  const endsAt = this.fleet.now + MAX_RECOVERY_MS;
  while (!hasRecovered(this) && this.fleet.now < endsAt) await this.fleet.run(RECOVERY_STEP_MS);
});

Then('in no 5 s more loads have begun than the ceiling allows', function (this: LoadsWorld) {
  const { loads } = this.fleet;
  const allowed = this.plan.loadsPerSecond * (CEILING_WINDOW_MS / 1_000) * BURST_FACTOR + SLACK;
  let first = 0;
  let most = 0;
  for (const [index, at] of loads.entries()) {
    while ((loads[first] ?? at) <= at - CEILING_WINDOW_MS) first += 1;
    most = Math.max(most, index - first + 1);
  }
  assert.ok(loads.length > 0, 'loads must have begun');
  assert.ok(most <= allowed, `${most} loads have begun, ${allowed} are allowed`);
});

Then('most replicas are open again', function (this: LoadsWorld) {
  assert.ok(hasRecovered(this), `${this.fleet.groupsOpen} replicas are open`);
});

/** Whether most of the replicas are open that a fleet can have if each is of the large model. */
function hasRecovered({ plan, fleet }: LoadsWorld): boolean {
  const possible = plan.domains * Math.floor(plan.enginesPerDomain / 4);
  return fleet.groupsOpen >= possible * 0.75;
}
