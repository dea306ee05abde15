/**
 * Simulation of many gateways that place requests on replicas with a fixed service time.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  drawTarget,
  sampleTargets,
  splitByFailureDomain,
  type Target,
  type TargetList,
  type TargetState,
} from '../../src/controllers/forwarding/index.js';
import {
  drawingPlacement,
  playFleet,
  type FleetOptions,
  type FleetOutcome,
} from '../../bench/decisions/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';

interface PlacingWorld {
  gateways: number;
  loadUpdateIntervalMs: number;
  targets: Target[];
  ratePerSecond: number;
  /** Samples of the highest number of requests at one replica. */
  peakInFlight: number[];
  fleet: FleetOptions;
  played: FleetOutcome;
  isEligible: (target: Target) => boolean;
  candidateCounts: number[];
  chosen: Target[];
}

const SLOTS = 24;
const SERVICE_MS = 800;
const STEP_MS = 10;
const WARM_UP_MS = 3_000;
const MS_PER_SECOND = 1_000;
const HOME_DOMAIN = 'zone-0';

function createTargets(count: number, failureDomains: number): Target[] {
  return Array.from({ length: count }, (_, index): Target => {
    const failureDomain = `zone-${index % failureDomains}`;
    const id = `head-${index}`;
    const server = { id, service: 'models', address: 'x:1', failureDomain, slots: SLOTS };
    return { server: { ...server, leaving: false }, members: [id] };
  });
}

/** A gateway with its own requests in flight and the last reported load of all others. */
class SimulatedGateway {
  readonly ownInFlight = new Map<string, number>();
  private otherInFlight = new Map<string, number>();
  private readonly targets: TargetList;

  constructor(
    targets: readonly Target[],
    private readonly failureDomain: string,
    private readonly random: Random,
  ) {
    this.targets = splitByFailureDomain(targets, failureDomain);
  }

  receiveLoad(total: ReadonlyMap<string, number>): void {
    this.otherInFlight = new Map(
      [...total].map(([id, count]) => [id, count - (this.ownInFlight.get(id) ?? 0)]),
    );
  }

  choose(): Target | undefined {
    const states = sampleTargets(
      this.targets,
      (target) => this.describeTarget(target),
      this.random,
    );
    return drawTarget(states, this.random)?.target;
  }

  private describeTarget(target: Target): TargetState {
    const { id, failureDomain } = target.server;
    return {
      target,
      inFlight: (this.ownInFlight.get(id) ?? 0) + (this.otherInFlight.get(id) ?? 0),
      slots: SLOTS,
      isRemote: failureDomain !== this.failureDomain,
      failureRate: 0,
    };
  }
}

function adjustCount(counts: Map<string, number>, id: string, change: number): void {
  counts.set(id, (counts.get(id) ?? 0) + change);
}

Given(
  '{int} gateways that hear of each other every {int} ms',
  function (this: PlacingWorld, gateways: number, loadUpdateIntervalMs: number) {
    this.gateways = gateways;
    this.loadUpdateIntervalMs = loadUpdateIntervalMs;
  },
);

Given(
  '{int} replicas in {int} failure domains that {int} requests a second keep busy',
  function (this: PlacingWorld, replicas: number, domains: number, ratePerSecond: number) {
    this.targets = createTargets(replicas, domains);
    this.ratePerSecond = ratePerSecond;
  },
);

When(
  'the load goes on for {int} seconds with seed {int}',
  function (this: PlacingWorld, seconds: number, seed: number) {
    const random = createRandom(seed);
    const gateways = Array.from(
      { length: this.gateways },
      (_, index) => new SimulatedGateway(this.targets, `zone-${index % 3}`, random),
    );
    const total = new Map<string, number>();
    const completions: { at: number; gateway: SimulatedGateway; id: string }[] = [];
    this.peakInFlight = [];
    for (let now = 0; now < seconds * MS_PER_SECOND; now += STEP_MS) {
      while (completions[0] !== undefined && completions[0].at <= now) {
        const { gateway, id } = completions.shift() ?? completions[0];
        adjustCount(gateway.ownInFlight, id, -1);
        adjustCount(total, id, -1);
      }
      gateways.forEach((gateway, index) => {
        const phase = (index * this.loadUpdateIntervalMs) / this.gateways;
        if ((now - phase) % this.loadUpdateIntervalMs < STEP_MS) gateway.receiveLoad(total);
        const arrivalProbability = (this.ratePerSecond * STEP_MS) / MS_PER_SECOND / this.gateways;
        if (random.fraction() >= arrivalProbability) return;
        const target = gateway.choose();
        if (target === undefined) return;
        const { id } = target.server;
        adjustCount(gateway.ownInFlight, id, 1);
        adjustCount(total, id, 1);
        completions.push({ at: now + SERVICE_MS, gateway, id });
      });
      if (now >= WARM_UP_MS) this.peakInFlight.push(Math.max(...total.values()));
    }
  },
);

Then('no replica ever has more requests than places', function (this: PlacingWorld) {
  const peak = Math.max(...this.peakInFlight);
  assert.ok(peak <= SLOTS, `${peak} requests at ${SLOTS} places`);
});

Given(
  '{int} replicas of a model in {int} failure domains',
  function (this: PlacingWorld, replicas: number, domains: number) {
    this.targets = createTargets(replicas, domains);
    this.isEligible = () => true;
  },
);

Given('only one replica of another failure domain can be chosen', function (this: PlacingWorld) {
  const [only] = splitByFailureDomain(this.targets, HOME_DOMAIN).far;
  this.isEligible = (target) => target === only;
});

When('a gateway with late news chooses {int} times', function (this: PlacingWorld, times: number) {
  const random = createRandom(1);
  const list = splitByFailureDomain(this.targets, HOME_DOMAIN);
  const evaluate = (target: Target): Target | undefined =>
    this.isEligible(target) ? target : undefined;
  const draws = Array.from({ length: times }, () => sampleTargets(list, evaluate, random));
  this.candidateCounts = draws.map((targets) => targets.length);
  this.chosen = draws.flatMap((targets) => targets.slice(0, 1));
});

Then(
  'it compares at most {int} replicas for each request',
  function (this: PlacingWorld, limit: number) {
    assert.ok(Math.max(...this.candidateCounts) <= limit);
  },
);

Then('each replica of its own failure domain is chosen', function (this: PlacingWorld) {
  const { near } = splitByFailureDomain(this.targets, HOME_DOMAIN);
  const missing = near.filter((target) => !this.chosen.includes(target));
  assert.deepEqual(missing, []);
});

Then('it chooses that one each time', function (this: PlacingWorld) {
  assert.ok(this.chosen.length > 0 && this.chosen.every(this.isEligible));
});

Given(
  '{int} gateways in {int} failure domains that report to their hub every {int} ms',
  function (this: PlacingWorld, gateways: number, failureDomains: number, hubIntervalMs: number) {
    this.fleet = { ...this.fleet, gateways, failureDomains, hubIntervalMs, crossIntervalMs: 600 };
  },
);

Given(
  '{int} replicas of {int} slots with {int} requests a second, one of which is lost every {int} ms',
  function (
    this: PlacingWorld,
    replicas: number,
    slots: number,
    requestsPerSecond: number,
    lossIntervalMs: number,
  ) {
    const streams = { streamMs: 950, firstEventMs: 75, targetMs: 200 };
    const losses = { lossIntervalMs, repairMs: 2_500, noticeMs: 500 };
    this.fleet = { ...this.fleet, ...streams, ...losses, replicas, slots, requestsPerSecond };
  },
);

When(
  'the fleet is played for {int} seconds with seed {int}',
  function (this: PlacingWorld, seconds: number, seed: number) {
    this.played = playFleet({ ...this.fleet, seconds }, drawingPlacement, seed);
  },
);

Then(
  'at least {int} of 1000 requests begin to be answered in time',
  function (this: PlacingWorld, least: number) {
    assert.ok(this.played.onTime >= least / 1_000, `${this.played.onTime}`);
  },
);
