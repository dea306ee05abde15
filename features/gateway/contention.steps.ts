/**
 * Queue order between workspaces and priorities under drawn loads, on simulated time.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  chooseRetryAfterMs,
  listUnservable,
  orderFairly,
  orderQueue,
  QueueUsage,
  roomFreeInMs,
  type WaitingRequest,
} from '../../src/controllers/waiting/index.js';
import { createRandom } from '../../src/core/random/index.js';

/** Callers of one workspace and priority. */
interface Demand {
  workspace: string;
  rank: number;
  perSecond: number;
  /** Its refused callers come back at once, any number of times. */
  floods: boolean;
}

interface Load {
  demands: Demand[];
  capacity: number;
  seed: number;
}

/** The part of its callers that each demand was served, in the order of the demands. */
type Served = number[];

interface ContentionWorld {
  loads: Load[];
  retryAfter: number[];
}

interface SimulatedRequest extends WaitingRequest {
  demand: number;
}

const STEP_MS = 20;
const END_MS = 9_000;
/** The shares are measured from here on. */
const WARM_UP_MS = 3_000;
const TARGET_MS = 300;
const PATIENCE_MS = 2_000;
const MS_PER_SECOND = 1_000;
const FLOOD: Demand = { workspace: 'flood', rank: 1, perSecond: 0, floods: true };

const FAIR = true;

class Simulation {
  private waiting = new Set<SimulatedRequest>();
  private readonly usage = new QueueUsage();
  private readonly arrived: number[];
  private readonly served: number[];
  private readonly totals = { sent: 0 };

  constructor(
    private readonly load: Load,
    private readonly isFair: boolean,
  ) {
    this.arrived = load.demands.map(() => 0);
    this.served = load.demands.map(() => 0);
  }

  run(): Served {
    const random = createRandom(this.load.seed);
    let room = 0;
    for (let now = 0; now < END_MS; now += STEP_MS) {
      for (const [index, { perSecond }] of this.load.demands.entries()) {
        const due = (perSecond * STEP_MS) / MS_PER_SECOND;
        const count = Math.floor(due) + Number(random.fraction() < due % 1);
        for (let each = 0; each < count; each += 1) this.arrive(index, now);
      }
      room = Math.min(
        room + (this.load.capacity * STEP_MS) / MS_PER_SECOND,
        1 + this.load.capacity,
      );
      while (room >= 1 && this.waiting.size > 0) {
        this.send(now);
        room -= 1;
      }
      room = Math.min(room, 1);
      this.refuse(now);
    }
    return this.served.map((count, index) => count / Math.max(1, this.arrived[index] ?? 1));
  }

  servedOfAll(): number {
    const sum = (counts: number[]): number => counts.reduce((total, count) => total + count, 0);
    return sum(this.served) / sum(this.arrived);
  }

  private order(now: number): SimulatedRequest[] {
    return this.isFair ? orderFairly(this.waiting, now, this.usage) : orderQueue(this.waiting, now);
  }

  private arrive(demand: number, now: number): void {
    const { workspace, rank } = this.load.demands[demand] ?? FLOOD;
    if (now >= WARM_UP_MS) this.arrived[demand] = (this.arrived[demand] ?? 0) + 1;
    this.usage.recordArrival(rank, now);
    this.waiting.add({
      demand,
      workspace,
      rank,
      since: now,
      onTimeUntil: now + TARGET_MS / 2,
      worthUntil: now + PATIENCE_MS,
    });
  }

  private send(now: number): void {
    const [next] = this.order(now);
    if (next === undefined) return;
    this.waiting.delete(next);
    this.usage.recordSent(next.workspace ?? '', next.rank, now);
    this.totals.sent += 1;
    if (now >= WARM_UP_MS) this.served[next.demand] = (this.served[next.demand] ?? 0) + 1;
  }

  private refuse(now: number): void {
    const pace = { since: 0, sent: this.totals.sent };
    for (const refused of listUnservable(this.order(now), now, pace)) {
      this.waiting.delete(refused);
      const comesBack = this.load.demands[refused.demand]?.floods === true;
      if (!comesBack || now >= refused.worthUntil) continue;
      this.waiting.add({ ...refused, since: now, onTimeUntil: now + TARGET_MS / 2 });
      this.usage.recordArrival(refused.rank, now);
    }
  }
}

function play(load: Load, isFair: boolean): { served: Served; ofAll: number } {
  const simulation = new Simulation(load, isFair);
  const served = simulation.run();
  return { served, ofAll: simulation.servedOfAll() };
}

function drawLoads(seed: number, runs: number, drawn: fc.Arbitrary<Load>): Load[] {
  return fc.sample(drawn, { numRuns: runs, seed });
}

const seeds = fc.integer({ min: 1, max: 1_000_000 });
const capacities = fc.integer({ min: 15, max: 30 });

Given('its refused callers come back at once', function (this: ContentionWorld) {
  assert.ok(this.loads.every(({ demands }) => demands.some(({ floods }) => floods)));
});

Given(
  '{int} drawn loads from seed {int} in which one workspace asks for {int} to {int} times what can be served',
  function (this: ContentionWorld, runs: number, seed: number, min: number, max: number) {
    const drawn = fc
      .record({
        capacity: capacities,
        seed: seeds,
        factor: fc.integer({ min, max }),
        parts: fc.array(fc.double({ min: 0.2, max: 0.8, noNaN: true }), {
          minLength: 1,
          maxLength: 5,
        }),
      })
      .map(({ capacity, seed: own, factor, parts }) => ({
        capacity,
        seed: own,
        demands: [
          { ...FLOOD, perSecond: capacity * factor },
          ...parts.map((part, index) => ({
            workspace: `quiet-${index}`,
            rank: 1,
            perSecond: (part * capacity) / (parts.length + 1),
            floods: false,
          })),
        ],
      }));
    this.loads = drawLoads(seed, runs, drawn);
  },
);

Given(
  '{int} drawn loads from seed {int} in which {int} to {int} workspaces ask for {float} to {float} times what can be served',
  function (
    this: ContentionWorld,
    runs: number,
    seed: number,
    fewest: number,
    most: number,
    min: number,
    max: number,
  ) {
    const drawn = fc
      .record({
        capacity: capacities,
        seed: seeds,
        factor: fc.double({ min, max, noNaN: true }),
        parts: fc.array(fc.double({ min: 0.5, max: 1.5, noNaN: true }), {
          minLength: fewest,
          maxLength: most,
        }),
      })
      .map(({ capacity, seed: own, factor, parts }) => {
        const sum = parts.reduce((total, part) => total + part, 0);
        const demands = parts.map((part, index) => ({
          workspace: `w-${index}`,
          rank: 1,
          perSecond: (part / sum) * factor * capacity,
          floods: false,
        }));
        return { capacity, seed: own, demands };
      });
    this.loads = drawLoads(seed, runs, drawn);
  },
);

Given(
  '{int} drawn loads from seed {int} in which two priorities ask for {float} to {float} times what can be served',
  function (this: ContentionWorld, runs: number, seed: number, min: number, max: number) {
    const drawn = fc
      .record({
        capacity: capacities,
        seed: seeds,
        factor: fc.double({ min, max, noNaN: true }),
        part: fc.double({ min: 0.2, max: 0.8, noNaN: true }),
      })
      .map(({ capacity, seed: own, factor, part }) => ({
        capacity,
        seed: own,
        demands: [part, 1 - part].map((each, rank) => ({
          workspace: 'w',
          rank,
          perSecond: each * factor * capacity,
          floods: false,
        })),
      }));
    this.loads = drawLoads(seed, runs, drawn);
  },
);

Then(
  'each other workspace that asks for less than its share is served at least {int} in 100',
  function (this: ContentionWorld, percent: number) {
    for (const load of this.loads) {
      const [, ...quiet] = play(load, FAIR).served;
      for (const part of quiet) assert.ok(part >= percent / 100, describe(load, part));
    }
  },
);

Then(
  'in the order without shares it would be served less than {int} in 100 in most of these loads',
  function (this: ContentionWorld, percent: number) {
    const starved = this.loads.filter((load) => {
      const [, ...quiet] = play(load, !FAIR).served;
      return quiet.some((part) => part < percent / 100);
    });
    assert.ok(starved.length > this.loads.length / 2, `${starved.length}`);
  },
);

Then(
  'each workspace is served at least a quarter as often as all',
  function (this: ContentionWorld) {
    for (const load of this.loads) {
      const { served, ofAll } = play(load, FAIR);
      for (const part of served) assert.ok(part >= ofAll / 4, describe(load, part, ofAll));
    }
  },
);

Then(
  'each priority is served at least a quarter as often as all, and the higher one more often',
  function (this: ContentionWorld) {
    for (const load of this.loads) {
      const { served, ofAll } = play(load, FAIR);
      const [high = 0, low = 0] = served;
      assert.ok(low >= ofAll / 4, describe(load, low, ofAll));
      assert.ok(high >= low, describe(load, high, low));
    }
  },
);

Then(
  'in the order without shares the lower one would be served less than that in at least {int} of these loads',
  function (this: ContentionWorld, count: number) {
    const starved = this.loads.filter((load) => {
      const { served, ofAll } = play(load, !FAIR);
      return (served[1] ?? 0) < ofAll / 4;
    });
    assert.ok(starved.length >= count, `${starved.length}`);
  },
);

function describe(load: Load, ...figures: number[]): string {
  return `${figures.join(' ')} in ${JSON.stringify(load)}`;
}

Given(
  '{int} drawn queues from seed {int} without workspaces',
  function (this: ContentionWorld & { queues: WaitingRequest[][] }, runs: number, seed: number) {
    const time = fc.integer({ min: 0, max: 1_000 });
    const request = fc.record({
      rank: fc.integer({ min: 0, max: 2 }),
      since: time,
      onTimeUntil: time,
      worthUntil: time,
    });
    this.queues = fc.sample(fc.array(request), { numRuns: runs, seed });
  },
);

Then(
  'their fair order is the order of queues that are not shared',
  function (this: ContentionWorld & { queues: WaitingRequest[][] }) {
    for (const queue of this.queues)
      assert.deepEqual(orderFairly(queue, 500, new QueueUsage()), orderQueue(queue, 500));
  },
);

When(
  'a caller is refused with {int} ms left where {int} requests wait and {int} are sent a second',
  function (this: ContentionWorld, leftMs: number, queued: number, rate: number) {
    const sentPerMs = rate === 0 ? undefined : rate / MS_PER_SECOND;
    const freeInMs = roomFreeInMs({ queued, sentPerMs });
    const random = createRandom(5);
    this.retryAfter = Array.from({ length: 100 }, () =>
      chooseRetryAfterMs(freeInMs, leftMs, random.fraction()),
    );
  },
);

Then(
  'it is told to come back after {int} to {int} ms, spread over at least {int} ms',
  function (this: ContentionWorld, soonest: number, latest: number, spread: number) {
    const [least, most] = [Math.min(...this.retryAfter), Math.max(...this.retryAfter)];
    assert.ok(least >= soonest && most <= latest, `${least} to ${most}`);
    assert.ok(most - least >= spread, `${least} to ${most}`);
  },
);
