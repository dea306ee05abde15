/**
 * The way of a change through a simulated fleet, and differences between versions.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  applyConfigurationDelta,
  diffConfigurations,
} from '../../src/controllers/propagation/index.js';
import type { ServingConfiguration } from '../../src/ports/index.js';
import { ConfigurationFleet, type FleetPlan, type Way } from './configuration-fleet.js';
import type { GatewayWorld } from './world.js';

interface WayWorld extends GatewayWorld {
  plan: Pick<FleetPlan, 'gateways' | 'domains' | 'boundMs'>;
  changes: number;
  worstMs: number;
  worstSeed: number;
}

const LOSSES = 2;
const FIRST_SEED = 51;
const PROPERTY_SEED = 51;

Given(
  '{int} changes in fleets of {int} gateways in {int} failure domains, with a bound of {int} ms',
  function (this: WayWorld, changes: number, gateways: number, domains: number, boundMs: number) {
    this.changes = changes;
    this.plan = { gateways, domains, boundMs };
  },
);

When('two messages in a row are lost on the way to {}', function (this: WayWorld, way: string) {
  this.worstMs = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + this.changes; seed += 1) {
    const fleet = new ConfigurationFleet({ ...this.plan, way: way as Way, losses: LOSSES, seed });
    const { allMs } = fleet.run();
    if (allMs <= this.worstMs) continue;
    this.worstMs = allMs;
    this.worstSeed = seed;
  }
});

Then('each change is in force at all gateways within the bound', function (this: WayWorld) {
  const report = `in force after ${this.worstMs} ms at most (seed ${this.worstSeed})`;
  this.log(report);
  assert.ok(this.worstMs <= this.plan.boundMs, report);
});

const routesArbitrary = fc.array(
  fc.record({ name: fc.string({ maxLength: 4 }), timeoutMs: fc.nat({ max: 3 }) }),
  { maxLength: 12 },
);
const configurationArbitrary = fc.record({
  version: fc.nat({ max: 1_000 }),
  routes: routesArbitrary,
  services: routesArbitrary,
  workspaces: fc.option(routesArbitrary, { nil: undefined }),
  limits: fc.record({ maxBodyBytes: fc.nat({ max: 2 }) }),
});

function asConfiguration(value: fc.Arbitrary<unknown> | object): ServingConfiguration {
  return JSON.parse(JSON.stringify(value)) as ServingConfiguration;
}

Then(
  'for {int} random changes the difference applied to the version before gives the version after',
  function (runs: number) {
    const property = fc.property(configurationArbitrary, configurationArbitrary, (one, other) => {
      const [before, after] = [asConfiguration(one), asConfiguration(other)];
      const delta = diffConfigurations(before, after, Infinity);
      assert.ok(delta);
      assert.deepEqual(applyConfigurationDelta(before, delta), after);
    });
    fc.assert(property, { numRuns: runs, seed: PROPERTY_SEED });
  },
);

Then(
  'applied to another version, or to other content under its number, it gives nothing',
  function () {
    const base = asConfiguration({
      version: 1,
      routes: [{ name: 'a' }, { name: 'b' }],
      services: [],
      limits: {},
    });
    const after = { ...base, version: 2, routes: base.routes.slice(1) };
    const delta = diffConfigurations(base, after, Infinity);
    assert.ok(delta);
    assert.equal(applyConfigurationDelta({ ...base, version: 0 }, delta), undefined);
    const restored = { ...base, routes: [...base.routes].reverse() };
    assert.equal(applyConfigurationDelta(restored, delta), undefined);
    assert.equal(diffConfigurations(base, after, 10), undefined);
  },
);
