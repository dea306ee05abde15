/**
 * Learning of the speeds of backend servers, without a network and on a manual clock.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { drawingPlacement, playFleet, type FleetOptions } from '../../bench/decisions/index.js';
import { createSection, type WritableSection } from '../../src/board/index.js';
import {
  applyFleetChanges,
  chooseTarget,
  drawTarget,
  EMPTY_FLEET,
  type ServingFleet,
  type Target,
  type TargetState,
} from '../../src/controllers/forwarding/index.js';
import {
  canAvoidSlow,
  LateTicks,
  mergeSpeedReports,
  ServerSpeeds,
  speedCost,
  speedReportSchema,
  speedWeight,
  type SpeedReport,
} from '../../src/controllers/speed/index.js';
import { createManualClock, type ManualClock } from '../../src/core/clock/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { AttemptTiming } from '../../src/gateway/requests/attempt-timing.js';
import { createSpeedTracker, type SpeedTracker } from '../../src/gateway/requests/speed-tracker.js';
import type { AdmittedRequest } from '../../src/gateway/requests/types.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import type { BackendServer, EngineProfile, GroupModel } from '../../src/ports/index.js';
import { PeeringModel } from './peering-model.js';

interface SpeedWorld {
  ids: string[];
  factors: Map<string, number>;
  speeds: ServerSpeeds;
  now: number;
  seed: number;
  states: TargetState[];
  drawn: Map<string, number>;
  ratios: number[];
  clock: ManualClock;
  fleetSection: WritableSection<ServingFleet>;
  tracker: SpeedTracker;
  timedOutcomes: string[];
  peering: PeeringModel;
  seer: number;
  results: { weight: number; cost: number; reports: SpeedReport[] }[];
  choices: string[];
  fleet: FleetOptions;
  outcomes: { onTime: number; veryLate: number }[];
}

const GROUP = 'models small';
const SLOTS = 24;
const STEP_MS = 50;
const REFRESH_MS = 250;
const PROFILE: EngineProfile = {
  models: [],
  slots: SLOTS,
  stride: 5,
  stepMs: 8,
  stepPerRequestMs: 0.2,
  promptTokensPerMs: 50,
  promptChunk: 2_048,
  loadsAtOnce: 1,
  loadsPerSecond: 1,
  formMs: 1,
};
const MODEL: GroupModel = { name: 'small', size: 1, pace: 1, share: 1, loadMs: 1, warmMs: 1 };
const SERVICE = { name: 'models', maxConnections: 10, engine: { ...PROFILE, models: [MODEL] } };
/** Time between two events with one request at a replica. */
const GAP_MS = 41;
const EVENTS = 40;
/** Chosen with seed 7 by the code before speeds were known. */
const DRAWS_BEFORE = '11 10 0 6 3 9 11 1 6 11 11 10 1 4 4 7 3 0 9 2 6 4 9 0 11 6 1 10 0 6';
const CHOICES_BEFORE = '5 5 9 5 9 5 10 4 5 0 9 0 1 4 10 8 11 9 3 7 1 6 1 10 2 6 6 11 1 10';

function createServer(id: string, startedAt = 1): BackendServer {
  const membership = { group: `g-${id}`, epoch: 1, rank: 0, size: 1, state: 'open' as const };
  return {
    id,
    service: SERVICE.name,
    address: 'x:1',
    failureDomain: 'north',
    slots: SLOTS,
    leaving: false,
    startedAt,
    engine: { fabricDomain: 'f', staged: [], model: MODEL.name, membership },
  };
}

function createTarget(id: string): Target {
  return { server: createServer(id), members: [id] };
}

function createState(id: string, inFlight = 6): TargetState {
  return { target: createTarget(id), inFlight, slots: SLOTS, isRemote: false, failureRate: 0 };
}

function listIds(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `head-${index}`);
}

function refresh(world: SpeedWorld): void {
  world.speeds.refresh(new Map([[GROUP, world.ids]]), world.now);
}

/** Observes answers of all servers for `ms`, at their current factors and drawn loads. */
function observe(world: SpeedWorld, ms: number): void {
  const random = createRandom(world.seed);
  const until = world.now + ms;
  while (world.now < until) {
    world.now += STEP_MS;
    for (const server of world.ids) {
      if (random.fraction() < 0.7) continue;
      const noise = 0.6 + 0.9 * random.fraction();
      const ratio = (world.factors.get(server) ?? 1) * noise;
      const kind = random.fraction() < 0.2 ? 'firstEvent' : 'eventGaps';
      world.speeds.record({ server, group: GROUP, kind, ratio, use: random.fraction() }, world.now);
    }
    if (world.now % REFRESH_MS === 0) refresh(world);
  }
}

function slownessOf({ speeds, now }: SpeedWorld, id: string): number {
  return speeds.speedOf(id, now)?.slowness ?? 1;
}

function listSlow(world: SpeedWorld): string[] {
  return world.ids.filter((id) => slownessOf(world, id) > 1);
}

Given(
  /^(\d+) replicas, of which (\d+) (?:is|are) (\d+) times slower$/,
  function (this: SpeedWorld, count: string, slow: string, factor: string) {
    this.ids = listIds(Number(count));
    this.factors = new Map(this.ids.slice(0, Number(slow)).map((id) => [id, Number(factor)]));
    this.speeds = new ServerSpeeds();
    this.speeds.recordHeadroom(GROUP, 4);
    this.now = 0;
    this.seed = 4;
  },
);

When(
  /^answers of drawn loads are observed for (\d+) ms with seed (\d+)$/,
  function (this: SpeedWorld, ms: string, seed: string) {
    this.seed = Number(seed);
    observe(this, Number(ms));
  },
);

When('one answer takes 8 times the usual time', function (this: SpeedWorld) {
  const first = { server: 'head-0', group: GROUP, kind: 'firstEvent', ratio: 8, use: 0.3 } as const;
  observe(this, 1_000);
  this.speeds.record(first, this.now);
  refresh(this);
});

Then(
  'the slow replica gets at most {float} of a fair share',
  function (this: SpeedWorld, share: number) {
    const random = createRandom(this.seed);
    const states = this.ids.slice(0, 4).map((id): TargetState => {
      const speed = this.speeds.speedOf(id, this.now);
      return { ...createState(id), ...(speed && { speed }) };
    });
    const draws = 4_000;
    const drawn = Array.from({ length: draws }, () => drawTarget(states, random));
    const count = drawn.filter((state) => state?.target.server.id === 'head-0').length;
    assert.ok(count > 0, 'nothing shows when it is usual again');
    assert.ok(count <= (share * draws) / states.length, `${count} of ${draws}`);
    const least = chooseTarget(states, random);
    assert.notEqual(least?.target.server.id, 'head-0');
  },
);

Then('the other replicas count as usual', function (this: SpeedWorld) {
  assert.deepEqual(listSlow(this), ['head-0']);
});

Then(
  'once it has the usual speed again it counts as usual after {int} ms',
  function (this: SpeedWorld, ms: number) {
    this.factors.clear();
    observe(this, ms);
    assert.deepEqual(listSlow(this), []);
  },
);

Then('each replica counts as usual', function (this: SpeedWorld) {
  refresh(this);
  assert.deepEqual(listSlow(this), []);
});

Given(
  '{int} targets, one of them 8 times slower and the others full',
  function (this: SpeedWorld, count: number) {
    this.states = listIds(count).map((id, index) =>
      index === 0
        ? { ...createState(id), speed: { slowness: 8, isTooSlow: true } }
        : createState(id, SLOTS - 1),
    );
  },
);

When('a gateway of a large fleet draws {int} times', function (this: SpeedWorld, times: number) {
  const random = createRandom(1);
  this.drawn = new Map();
  for (let index = 0; index < times; index += 1) {
    const id = drawTarget(this.states, random)?.target.server.id ?? '';
    this.drawn.set(id, (this.drawn.get(id) ?? 0) + 1 / times);
  }
});

Given(
  '{int} targets, one of them 8 times slower and the others with {float} times as many requests as slots',
  function (this: SpeedWorld, count: number, use: number) {
    this.states = listIds(count).map((id, index) =>
      index === 0
        ? { ...createState(id), speed: { slowness: 8, isTooSlow: true } }
        : createState(id, Math.round(use * SLOTS)),
    );
  },
);

When('a gateway of a small fleet chooses {int} times', function (this: SpeedWorld, times: number) {
  const random = createRandom(1);
  this.drawn = new Map();
  for (let index = 0; index < times; index += 1) {
    const id = chooseTarget(this.states, random)?.target.server.id ?? '';
    this.drawn.set(id, (this.drawn.get(id) ?? 0) + 1 / times);
  }
});

Then(
  'the slow one gets between {float} and {float} of the requests',
  function (this: SpeedWorld, least: number, most: number) {
    const share = Math.round(1e6 * (this.drawn.get('head-0') ?? 0)) / 1e6;
    assert.ok(share >= least && share <= most, `${share}`);
  },
);

/** Plays a stream whose times are `factor` times the usual ones; returns the ratios that are reported. */
function playStream(promptTokens: number, factor: number, otherTokens: number): number[] {
  const clock = createManualClock(0);
  const ratios: number[] = [];
  const timing = new AttemptTiming({
    clock,
    stream: { profile: PROFILE, model: MODEL, promptTokens, inFlight: 0, ignoresFirstEvent: false },
    targetMs: 250,
    report: (_, ratio) => ratios.push(ratio),
  });
  const wait = (ms: number): void => {
    clock.advance(ms * factor);
  };
  wait((promptTokens + otherTokens) / PROFILE.promptTokensPerMs + 1.5 * GAP_MS);
  for (let event = 0; event < EVENTS; event += 1) {
    timing.recordEvents(1, 1);
    // Half of the other prompts are read while this stream is generated.
    wait(GAP_MS + (event === 20 ? otherTokens / 2 / PROFILE.promptTokensPerMs : 0));
  }
  return ratios;
}

When(
  'a stream with a prompt of {int} tokens is answered at usual speed with {int} tokens of other prompts before its events',
  function (this: SpeedWorld, prompt: number, others: number) {
    this.ratios = playStream(prompt, 1, others);
  },
);

When(
  'a stream with a prompt of {int} tokens is answered {int} times slower',
  function (this: SpeedWorld, prompt: number, factor: number) {
    this.ratios = playStream(prompt, factor, 0);
  },
);

Then(
  'no part of its answer counts as slower than {float} times the usual',
  function (this: SpeedWorld, most: number) {
    assert.ok(this.ratios.length > 3 && Math.max(...this.ratios) <= most, this.ratios.join());
  },
);

Then(
  'each part of its answer counts as slower than {float} times the usual',
  function (this: SpeedWorld, least: number) {
    assert.ok(this.ratios.length > 3 && Math.min(...this.ratios) > least, this.ratios.join());
  },
);

Given(
  /^a gateway with (\d+) replicas that (has .+|is .+)$/,
  function (this: SpeedWorld, count: string, paused: string) {
    this.ids = listIds(Number(count));
    this.clock = createManualClock(0);
    this.timedOutcomes = [];
    const present = this.ids.map((id) => ({ kind: 'present' as const, server: createServer(id) }));
    this.fleetSection = createSection(applyFleetChanges(EMPTY_FLEET, present, 1, 0, 0));
    const context = {
      clock: this.clock,
      board: { fleet: this.fleetSection },
      logger: { log: () => undefined },
      metrics: {
        slowServers: { set: () => undefined },
        timedAnswers: {
          inc: ({ outcome }: { outcome: string }) => this.timedOutcomes.push(outcome),
        },
      },
    };
    this.tracker = createSpeedTracker(context as unknown as GatewayContext);
    this.tracker.recordTick(0, STEP_MS);
    this.choices = [paused];
  },
);

When('all its streams get their events {int} ms late', function (this: SpeedWorld, lateMs: number) {
  const route = { repeatability: 'stream', targetMs: 250, targetEventGapMs: 250 };
  const caller = { promptTokens: 100 };
  const request = { service: SERVICE, model: MODEL, route, caller } as unknown as AdmittedRequest;
  const timings = this.ids.map((server) =>
    this.tracker.time(
      request,
      { inFlight: 1, target: createTarget(server) },
      { server, sentAt: this.clock.now(), isRelayed: false },
      false,
    ),
  );
  const isPaused = this.choices[0] !== 'has run without interruption';
  for (let ms = 0; ms < lateMs; ms += STEP_MS) {
    this.clock.advance(STEP_MS);
    if (!isPaused) this.tracker.recordTick(0, this.clock.now() + STEP_MS);
  }
  if (this.choices[0] === 'has just been paused')
    this.tracker.recordTick(lateMs - STEP_MS, this.clock.now() + STEP_MS);
  for (const timing of timings) timing?.recordEvents(1, 1);
});

Then(/^(no|all) of their times are compared$/, function (this: SpeedWorld, count: string) {
  const expected = count === 'all' ? 'compared' : 'ignored';
  assert.deepEqual(
    this.timedOutcomes,
    this.ids.map(() => expected),
  );
});

When('the first of them is listed with a new start time', function (this: SpeedWorld) {
  const server = createServer('head-0', 2);
  const fleet = this.fleetSection.read();
  this.fleetSection.write(applyFleetChanges(fleet, [{ kind: 'present', server }], 2, 0, 0));
});

Then(
  'it counts as slow at first, less so after {int} ms, and as usual after {int} ms',
  function (this: SpeedWorld, laterMs: number, endMs: number) {
    const slownessNow = (): number =>
      this.tracker.describe(createTarget('head-0'), SERVICE).speed?.slowness ?? 1;
    const first = slownessNow();
    this.clock.advance(laterMs);
    const later = slownessNow();
    this.clock.advance(endMs - laterMs);
    assert.ok(first >= 3 && later < first && later > 1, `${first}, ${later}`);
    assert.equal(slownessNow(), 1);
  },
);

Then('the other replicas are described as before', function (this: SpeedWorld) {
  assert.deepEqual(this.tracker.describe(createTarget('head-1'), SERVICE), {});
});

When(
  'the first answers {int} times slower, but only with more than {float} of its slots in use',
  function (this: SpeedWorld, factor: number, limit: number) {
    const random = createRandom(3);
    for (let index = 0; index < 120; index += 1) {
      this.now += STEP_MS;
      for (const server of this.ids) {
        const isFirst = server === 'head-0';
        const use = isFirst && index % 5 < 2 ? 0.95 : 0.2 + 0.5 * random.fraction();
        const ratio = isFirst && use > limit ? factor : 1;
        this.speeds.record({ server, group: GROUP, kind: 'eventGaps', ratio, use }, this.now);
      }
      if (this.now % REFRESH_MS === 0) refresh(this);
    }
  },
);

Then(
  'it gets at most {int} of {int} requests at a time, and is not avoided',
  function (this: SpeedWorld, usable: number, slots: number) {
    assert.equal(this.speeds.usableSlots('head-0', slots), usable);
    assert.equal(this.speeds.usableSlots('head-1', slots), slots);
    assert.deepEqual(listSlow(this), []);
  },
);

When(
  'another gateway reports the first as {int} times slower with an age of {int} ms',
  function (this: SpeedWorld, slowness: number, ageMs: number) {
    this.speeds.adopt('gateway a', [{ server: 'head-0', slowness, count: 8, ageMs }], this.now);
    refresh(this);
  },
);

Then('the first counts as slow', function (this: SpeedWorld) {
  assert.deepEqual(listSlow(this), ['head-0']);
});

Then('{int} ms later it counts as usual', function (this: SpeedWorld, ms: number) {
  this.now += ms;
  refresh(this);
  assert.deepEqual(listSlow(this), []);
  assert.ok(this.speeds.isEmpty);
});

Given(
  '{int} gateways in {int} failure domains',
  function (this: SpeedWorld, gateways: number, domains: number) {
    this.peering = new PeeringModel(domains, Math.ceil(gateways / domains));
    this.peering.run(3_000);
  },
);

When(
  'one of them sees {int} slow answers of a server, and all exchange digests for {int} ms',
  function (this: SpeedWorld, answers: number, ms: number) {
    const { peering } = this;
    this.seer = 4;
    const seer = peering.gateways[this.seer];
    for (let index = 0; index < answers; index += 1)
      seer?.speeds.record(
        { server: 'head-0', group: GROUP, kind: 'eventGaps', ratio: 8, use: 0.3 },
        peering.now,
      );
    this.ids = listIds(20);
    peering.run(ms);
  },
);

Then('all other gateways know that the server is slow', function (this: SpeedWorld) {
  const { gateways, now } = this.peering;
  const unaware = gateways.filter(({ speeds }) => {
    speeds.refresh(new Map([[GROUP, this.ids]]), now);
    return speeds.speedOf('head-0', now) === undefined;
  });
  assert.deepEqual(
    unaware.map(({ name }) => name),
    [],
  );
});

Then(
  'no gateway has heard of more than {int} observations',
  function (this: SpeedWorld, most: number) {
    const { gateways, now } = this.peering;
    gateways.forEach(({ speeds }, index) => {
      const count = speeds.countEvidence('head-0', now);
      assert.ok(count > 0 && count <= most, `${count} at gateway ${index}`);
      const isReporting = speeds.report(now).length > 0;
      assert.equal(isReporting, index === this.seer);
    });
  },
);

Then('{int} ms later no gateway reports it', function (this: SpeedWorld, ms: number) {
  this.peering.run(ms);
  for (const { speeds } of this.peering.gateways)
    assert.deepEqual(speeds.report(this.peering.now), []);
});

When(
  'a gateway sees slow answers of {int} servers of {int}',
  function (this: SpeedWorld, slow: number, all: number) {
    this.ids = listIds(all);
    this.speeds = new ServerSpeeds();
    this.now = 1_000;
    for (const [index, server] of this.ids.entries()) {
      const ratio = index < slow ? 6 : 1;
      this.speeds.record({ server, group: GROUP, kind: 'eventGaps', ratio, use: 0.3 }, this.now);
    }
  },
);

Then(
  'it reports {int} of them, and so does a summary of {int} such gateways',
  function (this: SpeedWorld, count: number, gateways: number) {
    const reports = this.speeds.report(this.now);
    assert.equal(reports.length, count);
    const all = Array.from({ length: gateways }, (_, gateway) =>
      reports.map((report) => ({ ...report, server: `${gateway} ${report.server}` })),
    );
    assert.equal(mergeSpeedReports(all.flat()).length, count);
  },
);

When(
  '{int} observations and reports of any value are recorded',
  function (this: SpeedWorld, count: number) {
    const anyNumber = fc.oneof(
      fc.double(),
      fc.constantFrom(0, -1, Infinity, -Infinity, Number.NaN, 1e300, 5e-324),
    );
    const anyServer = fc.constantFrom(...listIds(6), 'unknown');
    const input = fc.record({
      server: anyServer,
      ratio: anyNumber,
      use: anyNumber,
      count: anyNumber,
      ageMs: anyNumber,
      stepMs: fc.integer({ min: 0, max: 3_000 }),
    });
    this.results = [];
    this.ids = listIds(6);
    this.speeds = new ServerSpeeds();
    this.now = 0;
    const ticks = new LateTicks();
    for (const drawn of fc.sample(input, { numRuns: count, seed: 5 })) {
      const { server, ratio, use, stepMs, ageMs } = drawn;
      this.now += stepMs;
      ticks.record(ratio, this.now);
      this.speeds.record({ server, group: GROUP, kind: 'plainAnswer', ratio, use }, this.now);
      this.speeds.recordHeadroom(GROUP, use);
      const report = { server, slowness: ratio, count: drawn.count, ageMs };
      this.speeds.adopt(`gateway ${server}`, [report], this.now);
      refresh(this);
      for (const id of this.ids) {
        const speed = this.speeds.speedOf(id, this.now);
        const weight = speedWeight(speed, canAvoidSlow([0.5]));
        this.results.push({
          weight,
          cost: speedCost(speed, true, () => 0.5) + this.speeds.usableSlots(id, SLOTS),
          reports: mergeSpeedReports([...this.speeds.report(this.now), report]),
        });
      }
    }
  },
);

Then('each target has a positive and finite weight and cost', function (this: SpeedWorld) {
  assert.ok(this.results.length > 0);
  for (const { weight, cost } of this.results) {
    assert.ok(Number.isFinite(weight) && weight > 0 && weight <= 1, `${weight}`);
    assert.ok(Number.isFinite(cost) && cost > 0, `${cost}`);
  }
});

Then('each report is valid', function (this: SpeedWorld) {
  const reports = this.results.flatMap((result) => result.reports);
  assert.ok(reports.length > 0);
  for (const report of reports) {
    assert.ok(speedReportSchema.safeParse(report).success);
    assert.ok(report.slowness > 0 && report.count >= 0 && report.ageMs >= 0);
  }
});

When(
  'targets without observations are chosen with seed {int}',
  function (this: SpeedWorld, seed: number) {
    const random = createRandom(seed);
    const drawn = listIds(12).map((id, index) => ({
      ...createState(id, (index * 7) % SLOTS),
      isRemote: index % 3 !== 0,
      failureRate: index === 5 ? 0.4 : 0,
    }));
    const alike = drawn.map((state) => ({
      ...state,
      inFlight: 3,
      isRemote: false,
      failureRate: 0,
    }));
    const nameOf = (state: TargetState | undefined): string =>
      state?.target.server.id.replace('head-', '') ?? '';
    const repeat = (choose: () => TargetState | undefined): string =>
      Array.from({ length: 30 }, () => nameOf(choose())).join(' ');
    this.choices = [
      repeat(() => drawTarget(drawn, random)),
      repeat(() => chooseTarget(alike, random)),
    ];
  },
);

Then('the choices are those made before speeds were known', function (this: SpeedWorld) {
  assert.deepEqual(this.choices, [DRAWS_BEFORE, CHOICES_BEFORE]);
});

Given(
  '{int} replicas of {int} slots with {int} requests a second, one of which is slow for {int} s every {int} ms',
  function (
    this: SpeedWorld,
    replicas: number,
    slots: number,
    requestsPerSecond: number,
    seconds: number,
    intervalMs: number,
  ) {
    const streams = { streamMs: 1_000, firstEventMs: 80, targetMs: 251 };
    const losses = { lossIntervalMs: 0, repairMs: 2_500, noticeMs: 500 };
    const durationMs = seconds * 1_000;
    const slowSpells = { intervalMs, durationMs, minFactor: 4, maxFactor: 12 };
    const load = { replicas, slots, requestsPerSecond, slowSpells };
    this.fleet = { ...this.fleet, ...streams, ...losses, ...load };
  },
);

When(
  'the fleet is played for {int} seconds with seed {int}, without and with shared speeds',
  function (this: SpeedWorld, seconds: number, seed: number) {
    this.outcomes = (['none', 'shared'] as const).map((learning) =>
      playFleet({ ...this.fleet, seconds }, drawingPlacement, seed, learning),
    );
  },
);

Then(
  'with shared speeds at least {float} of the late answers and {float} of the very late ones are avoided',
  function (this: SpeedWorld, late: number, veryLate: number) {
    const [before, after] = this.outcomes;
    assert.ok(before && after);
    const figures = JSON.stringify(this.outcomes);
    assert.ok(1 - after.onTime <= (1 - late) * (1 - before.onTime), figures);
    assert.ok(after.veryLate <= (1 - veryLate) * before.veryLate, figures);
  },
);
