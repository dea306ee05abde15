/**
 * Steps for sharing fleet-wide limits and for admission control, on manual time.
 */
import assert from 'node:assert/strict';
import { Given, Then, When, type IWorld } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { WorkspaceShare } from '../../src/board/index.js';
import {
  acceptGrant,
  admitRequest,
  createLimitState,
  releaseRequest,
  shareAt,
  type LimitState,
} from '../../src/controllers/limits/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';
import { WORKSPACE, ShareFleet, TICK_MS, type Member } from './share-fleet.js';

const OPTIONS = { mostEntries: 10, guaranteedFraction: 0.3, viewFreshMs: 10_000 };
const RELIABLE_NETWORK = { loss: 0, delayOrDuplicate: 0 };
const ROUNDING_TOLERANCE = 1e-9;
const TICKS_PER_SECOND = 1_000 / TICK_MS;
const SEED = 20_261;
/** Time for loans to adapt to a change of demand. */
const REBALANCE_SECONDS = 10;

interface LimitWorld extends IWorld {
  fleet: ShareFleet;
  observed: Member;
  maxSum: number;
  minSum: number;
  totalDemand: number;
  refusedDemand: number;
  limits: LimitState;
}

function runFleet(world: LimitWorld, seconds: number): void {
  for (let tick = 0; tick < seconds * TICKS_PER_SECOND; tick += 1) {
    world.fleet.tick();
    world.maxSum = Math.max(
      world.maxSum,
      world.fleet.totalShare(),
      world.fleet.totalShare('concurrentRequests'),
    );
  }
}

/** Applies a random fault or recovery. Never runs more than `mostEntries` processes. */
function injectFault(fleet: ShareFleet, random: Random): void {
  const member = fleet.members[random.below(Math.max(1, fleet.members.length))];
  if (!member || random.fraction() < 0.1) {
    if (fleet.members.length < OPTIONS.mostEntries) fleet.start();
    return;
  }
  switch (random.below(10)) {
    case 0:
      fleet.kill(member);
      return;
    case 1:
      // The platform considers the entry dead, but it is still running.
      fleet.delist(member.name);
      return;
    case 2:
      fleet.kill(member);
      fleet.start(member.name);
      return;
    case 3:
      member.isPaused = !member.isPaused;
      return;
    case 4:
      member.cutFromList = !member.cutFromList;
      return;
    case 5:
      member.cutFromPeers = !member.cutFromPeers;
      return;
    case 6:
      togglePartition(fleet, random);
      return;
    case 7:
      fleet.isPlatformDown = !fleet.isPlatformDown;
      return;
    default:
      member.demand = random.fraction() < 0.5 ? 0 : random.fraction();
  }
}

/** Ends a partition, or separates some entries from the platform and the others. */
function togglePartition(fleet: ShareFleet, random: Random): void {
  const hasPartition = fleet.members.some((member) => member.isPartitioned);
  for (const member of fleet.members) member.isPartitioned = !hasPartition && random.below(3) === 0;
}

function simulateHistory(seed: number): number {
  const random = createRandom(seed);
  const network = { loss: random.fraction() / 2, delayOrDuplicate: random.fraction() };
  // A very small or very large guaranteed part makes faults of either part show in the sum.
  const guaranteedFraction = [0.01, 0.3, 0.95][random.below(3)] ?? 0;
  const fleet = new ShareFleet({ ...OPTIONS, guaranteedFraction }, network, random);
  const count = 2 + random.below(OPTIONS.mostEntries - 2);
  for (let started = 0; started < count; started += 1) fleet.start();
  let max = 0;
  for (let tick = 0; tick < 150 * TICKS_PER_SECOND; tick += 1) {
    // Without faults at first, so that shares are divided and lent before they begin.
    if (tick > 25 * TICKS_PER_SECOND && random.below(4) === 0) injectFault(fleet, random);
    fleet.tick();
    max = Math.max(max, fleet.totalShare(), fleet.totalShare('concurrentRequests'));
  }
  return max;
}

Given(
  '{int} histories of a fleet of entries with random faults',
  function (this: LimitWorld, histories: number) {
    this.maxSum = 0;
    const property = fc.property(fc.integer(), (seed) => {
      const max = simulateHistory(seed);
      this.maxSum = Math.max(this.maxSum, max);
      return max <= 1 + ROUNDING_TOLERANCE;
    });
    fc.assert(property, { seed: SEED, numRuns: histories });
  },
);

Given('{int} entries that have split a limit', function (this: LimitWorld, count: number) {
  this.maxSum = 0;
  this.fleet = new ShareFleet(OPTIONS, RELIABLE_NETWORK, createRandom(SEED));
  for (let started = 0; started < count; started += 1) this.observed = this.fleet.start();
  runFleet(this, 30);
});

Given(
  '{int} entries that have split a limit of which {float} is guaranteed',
  function (this: LimitWorld, count: number, guaranteedFraction: number) {
    this.maxSum = 0;
    this.fleet = new ShareFleet(
      { ...OPTIONS, guaranteedFraction },
      RELIABLE_NETWORK,
      createRandom(SEED),
    );
    for (let started = 0; started < count; started += 1) this.observed = this.fleet.start();
    runFleet(this, 30);
  },
);

When('all other entries restart under their names', function (this: LimitWorld) {
  for (const member of this.fleet.members.filter((other) => other !== this.observed)) {
    this.fleet.kill(member);
    this.fleet.start(member.name);
  }
  runFleet(this, 5);
});

When('a loan arrives that names an earlier start of the entry', function (this: LimitWorld) {
  const { state, clockOffset, clockRate, name } = this.observed;
  const now = this.fleet.now * clockRate + clockOffset;
  state.lastStamp = now;
  const loans = [{ workspace: WORKSPACE.name, fraction: 0.5 }];
  const grant = { borrower: name, incarnation: 'earlier', askedAt: now - 1, loans };
  acceptGrant(state, 'lender', 'lender-1', 1, grant, now);
});

Then('the limit share of that entry has not grown', function (this: LimitWorld) {
  const before = this.observed.share?.requestsPerSecond;
  runFleet(this, 0.25);
  assert.equal(this.observed.share?.requestsPerSecond, before);
});

When(
  'one entry hears neither the platform nor its peers for {int} seconds',
  function (this: LimitWorld, seconds: number) {
    this.observed.cutFromList = true;
    this.observed.cutFromPeers = true;
    runFleet(this, seconds);
  },
);

When('only one entry has demand for {int} seconds', function (this: LimitWorld, seconds: number) {
  for (const member of this.fleet.members) member.demand = member === this.observed ? 1 : 0;
  runFleet(this, seconds);
});

When(
  'only one entry has demand for {int} seconds and is then paused for {int} seconds',
  function (this: LimitWorld, seconds: number, pause: number) {
    for (const member of this.fleet.members) member.demand = member === this.observed ? 1 : 0;
    runFleet(this, seconds);
    this.observed.isPaused = true;
    runFleet(this, pause);
  },
);

When(
  'the platform of the limited entries is unavailable for {int} seconds',
  function (this: LimitWorld, seconds: number) {
    this.fleet.isPlatformDown = true;
    this.minSum = 1;
    for (let second = 0; second < seconds; second += 1) {
      runFleet(this, 1);
      this.minSum = Math.min(this.minSum, this.fleet.totalShare());
    }
  },
);

Then(
  'the limit shares added up to more than {float} of the limit all that time',
  function (this: LimitWorld, part: number) {
    assert.ok(this.minSum > part, `shares added up to ${this.minSum}`);
  },
);

When(
  '{int} entries are partitioned from the others and the list drops them for {int} seconds',
  function (this: LimitWorld, count: number, seconds: number) {
    for (const member of this.fleet.members.slice(0, count)) {
      member.isPartitioned = true;
      this.fleet.delist(member.name);
    }
    runFleet(this, seconds);
  },
);

When(
  'they lose the platform and a new entry reaches it but none of them for {int} seconds',
  function (this: LimitWorld, seconds: number) {
    for (const member of this.fleet.members) member.cutFromList = true;
    this.fleet.start().cutFromPeers = true;
    runFleet(this, seconds);
  },
);

When(
  'each is replaced under a new name, one every {int} seconds, with half of the limit in demand',
  function (this: LimitWorld, seconds: number) {
    const demand = 0.5 / this.fleet.members.length;
    this.totalDemand = 0;
    this.refusedDemand = 0;
    for (const member of this.fleet.members) member.demand = demand;
    runFleet(this, REBALANCE_SECONDS);
    for (const member of [...this.fleet.members]) {
      this.fleet.kill(member);
      this.fleet.delist(member.name);
      const successor = this.fleet.start();
      // The balancer sends callers once the entry is ready, about a second after it is listed.
      successor.demand = 0;
      runFleet(this, 1);
      successor.demand = demand;
      for (let tick = 0; tick < (seconds - 1) * TICKS_PER_SECOND; tick += 1) {
        runFleet(this, 1 / TICKS_PER_SECOND);
        countRefused(this);
      }
    }
    this.log(
      `${((100 * this.refusedDemand) / this.totalDemand).toFixed(2)} % of the demand was refused`,
    );
  },
);

function countRefused(world: LimitWorld): void {
  for (const member of world.fleet.members) {
    const usableFraction = world.fleet.usableShare(member) / WORKSPACE.limits.requestsPerSecond;
    world.totalDemand += member.demand;
    world.refusedDemand += Math.max(0, member.demand - usableFraction);
  }
}

Then(
  'less than {float} of that demand was above the limit shares',
  function (this: LimitWorld, part: number) {
    assert.ok(
      this.refusedDemand < part * this.totalDemand,
      `${this.refusedDemand} of ${this.totalDemand}`,
    );
  },
);

Then('the limit shares never add up to more than the whole limit', function (this: LimitWorld) {
  assert.ok(this.maxSum > 0.3, `no shares were assigned: ${this.maxSum}`);
  assert.ok(this.maxSum <= 1 + ROUNDING_TOLERANCE, `shares added up to ${this.maxSum}`);
});

Then('its limit share is the guaranteed part of one entry', function (this: LimitWorld) {
  const share = this.observed.share?.requestsPerSecond ?? 0;
  const guaranteed = (OPTIONS.guaranteedFraction / OPTIONS.mostEntries) * 1_000;
  assert.ok(Math.abs(share - guaranteed) < ROUNDING_TOLERANCE, `share is ${share}`);
});

Then(
  'its first admission after waking goes by the limit share that it has without loans',
  function (this: LimitWorld) {
    const stale = this.observed.share;
    assert.ok(stale && stale.requestsPerSecond > 900, 'it had borrowed before the pause');
    const awake = this.fleet.now * this.observed.clockRate + this.observed.clockOffset;
    const used = shareAt(stale, awake).requestsPerSecond;
    assert.ok(used <= 30 + ROUNDING_TOLERANCE, `it would use ${used}`);
  },
);

Then(
  'that entry may use more than {float} of the limit',
  function (this: LimitWorld, part: number) {
    const share = this.observed.share?.requestsPerSecond ?? 0;
    assert.ok(share > part * WORKSPACE.limits.requestsPerSecond, `share is ${share}`);
  },
);

Then(
  'the limit shares add up to more than {float} of the limit',
  function (this: LimitWorld, part: number) {
    assert.ok(this.fleet.totalShare() > part, `sum is ${this.fleet.totalShare()}`);
  },
);

const shares = fc.record<WorkspaceShare>({
  requestsPerSecond: fc.double({ min: 0.05, max: 50, noNaN: true }),
  tokensPerSecond: fc.double({ min: 10, max: 5_000, noNaN: true }),
  concurrentRequests: fc.constant(100_000),
});
const arrivals = fc.array(
  fc.record({ gap: fc.nat(400), tokens: fc.nat(2_000), ends: fc.boolean() }),
  { minLength: 1, maxLength: 80 },
);

Given('random series of requests against a limit share', function () {
  // The properties below generate the series.
});

Then(
  'every request refused for its rate is admitted when it alone comes back after that time',
  function () {
    const property = fc.property(shares, arrivals, (share, series) => {
      const state = createLimitState();
      let now = 0;
      for (const { gap, tokens } of series) {
        now += gap;
        const request = { workspace: 'gates', tokens };
        const admission = admitRequest(state, request, share, now);
        if (admission.kind === 'admitted') continue;
        now += admission.retryAfterMs;
        if (admitRequest(state, request, share, now).kind !== 'admitted') return false;
      }
      return true;
    });
    fc.assert(property, { seed: SEED, numRuns: 200 });
  },
);

Then("the admitted requests stay within the limit share's rates and count", function () {
  const small = shares.map((share) => ({ ...share, concurrentRequests: 5 }));
  const property = fc.property(small, arrivals, (share, series) => {
    const state = createLimitState();
    let now = 0;
    let admitted = 0;
    let concurrent = 0;
    for (const { gap, tokens, ends } of series) {
      now += gap;
      if (ends && concurrent > 0) {
        releaseRequest(state, 'gates', 0, now);
        concurrent -= 1;
      }
      if (admitRequest(state, { workspace: 'gates', tokens }, share, now).kind !== 'admitted')
        continue;
      admitted += 1;
      concurrent += 1;
    }
    const burst = Math.max(1, share.requestsPerSecond);
    const maxAdmitted = burst + (share.requestsPerSecond * now) / 1_000 + ROUNDING_TOLERANCE;
    return admitted <= maxAdmitted && concurrent <= 5;
  });
  fc.assert(property, { seed: SEED, numRuns: 200 });
});

const TOKEN_SHARE = { requestsPerSecond: 100, tokensPerSecond: 100, concurrentRequests: 10 };

Given(
  'a limit share of 100 tokens a second of which 100 are reserved',
  function (this: LimitWorld) {
    this.limits = createLimitState();
    const request = { workspace: 'gates', tokens: 100 };
    assert.equal(admitRequest(this.limits, request, TOKEN_SHARE, 0).kind, 'admitted');
    assert.equal(admitRequest(this.limits, request, TOKEN_SHARE, 0).kind, 'refused');
  },
);

When('the request ends after {int} tokens', function (this: LimitWorld, used: number) {
  releaseRequest(this.limits, 'gates', used, 0, 100);
});

Then(
  'a request of {int} tokens is within the limit at once',
  function (this: LimitWorld, tokens: number) {
    const admission = admitRequest(this.limits, { workspace: 'gates', tokens }, TOKEN_SHARE, 0);
    assert.equal(admission.kind, 'admitted');
  },
);
