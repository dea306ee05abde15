/**
 * Steps for the split of fleet-wide limits and for admission, on manual time.
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
import { LIMITED, ShareFleet, TICK_MS, type Member } from './share-fleet.js';

const OPTIONS = { mostEntries: 10, guaranteedFraction: 0.3, viewFreshMs: 10_000 };
const CALM = { loss: 0, trouble: 0 };
const ROUNDING = 1e-9;
const SECOND = 1_000 / TICK_MS;
const SEED = 20_261;
/** After a change of demand, loans have moved in this time. */
const LOAN_SECONDS = 10;

interface LimitWorld extends IWorld {
  fleet: ShareFleet;
  hot: Member;
  mostSum: number;
  leastSum: number;
  asked: number;
  refused: number;
  limits: LimitState;
}

function run(world: LimitWorld, seconds: number): void {
  for (let tick = 0; tick < seconds * SECOND; tick += 1) {
    world.fleet.tick();
    world.mostSum = Math.max(
      world.mostSum,
      world.fleet.sum(),
      world.fleet.sum('concurrentRequests'),
    );
  }
}

/** One fault or recovery, chosen at random. Never more than `mostEntries` processes run. */
function disturb(fleet: ShareFleet, random: Random): void {
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
      // Dead to the platform, and alive all the same.
      fleet.delist(member.name);
      return;
    case 2:
      fleet.kill(member);
      fleet.start(member.name);
      return;
    case 3:
      member.paused = !member.paused;
      return;
    case 4:
      member.cutFromList = !member.cutFromList;
      return;
    case 5:
      member.cutFromPeers = !member.cutFromPeers;
      return;
    case 6:
      part(fleet, random);
      return;
    case 7:
      fleet.isPlatformDown = !fleet.isPlatformDown;
      return;
    default:
      member.demand = random.fraction() < 0.5 ? 0 : random.fraction();
  }
}

/** Ends a partition, or cuts some entries off from the platform and from the others. */
function part(fleet: ShareFleet, random: Random): void {
  const isParted = fleet.members.some((one) => one.isFar);
  for (const member of fleet.members) member.isFar = !isParted && random.below(3) === 0;
}

function playHistory(seed: number): number {
  const random = createRandom(seed);
  const network = { loss: random.fraction() / 2, trouble: random.fraction() };
  // With a small or a large guaranteed part, a fault of either part shows in the sum.
  const guaranteedFraction = [0.01, 0.3, 0.95][random.below(3)] ?? 0;
  const fleet = new ShareFleet({ ...OPTIONS, guaranteedFraction }, network, random);
  const count = 2 + random.below(OPTIONS.mostEntries - 2);
  for (let started = 0; started < count; started += 1) fleet.start();
  let most = 0;
  for (let tick = 0; tick < 150 * SECOND; tick += 1) {
    // Calm at first, so that shares are divided and lent before trouble begins.
    if (tick > 25 * SECOND && random.below(4) === 0) disturb(fleet, random);
    fleet.tick();
    most = Math.max(most, fleet.sum(), fleet.sum('concurrentRequests'));
  }
  return most;
}

Given(
  '{int} histories of a fleet of entries with random faults',
  function (this: LimitWorld, histories: number) {
    this.mostSum = 0;
    const property = fc.property(fc.integer(), (seed) => {
      const most = playHistory(seed);
      this.mostSum = Math.max(this.mostSum, most);
      return most <= 1 + ROUNDING;
    });
    fc.assert(property, { seed: SEED, numRuns: histories });
  },
);

Given('{int} entries that have split a limit', function (this: LimitWorld, count: number) {
  this.mostSum = 0;
  this.fleet = new ShareFleet(OPTIONS, CALM, createRandom(SEED));
  for (let started = 0; started < count; started += 1) this.hot = this.fleet.start();
  run(this, 30);
});

Given(
  '{int} entries that have split a limit of which {float} is guaranteed',
  function (this: LimitWorld, count: number, guaranteedFraction: number) {
    this.mostSum = 0;
    this.fleet = new ShareFleet({ ...OPTIONS, guaranteedFraction }, CALM, createRandom(SEED));
    for (let started = 0; started < count; started += 1) this.hot = this.fleet.start();
    run(this, 30);
  },
);

When('all other entries restart under their names', function (this: LimitWorld) {
  for (const member of this.fleet.members.filter((one) => one !== this.hot)) {
    this.fleet.kill(member);
    this.fleet.start(member.name);
  }
  run(this, 5);
});

When('a loan arrives that names an earlier start of the entry', function (this: LimitWorld) {
  const { state, clockOffset, clockRate, name } = this.hot;
  const now = this.fleet.now * clockRate + clockOffset;
  state.lastStamp = now;
  const loans = [{ workspace: LIMITED.name, fraction: 0.5 }];
  const grant = { borrower: name, incarnation: 'earlier', askedAt: now - 1, loans };
  acceptGrant(state, 'lender', 'lender-1', 1, grant, now);
});

Then('the limit share of that entry has not grown', function (this: LimitWorld) {
  const before = this.hot.share?.requestsPerSecond;
  run(this, 0.25);
  assert.equal(this.hot.share?.requestsPerSecond, before);
});

When(
  'one entry hears neither the platform nor its peers for {int} seconds',
  function (this: LimitWorld, seconds: number) {
    this.hot.cutFromList = true;
    this.hot.cutFromPeers = true;
    run(this, seconds);
  },
);

When('only one entry has demand for {int} seconds', function (this: LimitWorld, seconds: number) {
  for (const member of this.fleet.members) member.demand = member === this.hot ? 1 : 0;
  run(this, seconds);
});

When(
  'only one entry has demand for {int} seconds and is then paused for {int} seconds',
  function (this: LimitWorld, seconds: number, pause: number) {
    for (const member of this.fleet.members) member.demand = member === this.hot ? 1 : 0;
    run(this, seconds);
    this.hot.paused = true;
    run(this, pause);
  },
);

When(
  'the platform of the limited entries is away for {int} seconds',
  function (this: LimitWorld, seconds: number) {
    this.fleet.isPlatformDown = true;
    this.leastSum = 1;
    for (let second = 0; second < seconds; second += 1) {
      run(this, 1);
      this.leastSum = Math.min(this.leastSum, this.fleet.sum());
    }
  },
);

Then(
  'the limit shares added up to more than {float} of the limit all that time',
  function (this: LimitWorld, part: number) {
    assert.ok(this.leastSum > part, `shares added up to ${this.leastSum}`);
  },
);

When(
  '{int} entries are parted from the others and the list drops them for {int} seconds',
  function (this: LimitWorld, count: number, seconds: number) {
    for (const member of this.fleet.members.slice(0, count)) {
      member.isFar = true;
      this.fleet.delist(member.name);
    }
    run(this, seconds);
  },
);

When(
  'they lose the platform and a new entry reaches it but none of them for {int} seconds',
  function (this: LimitWorld, seconds: number) {
    for (const member of this.fleet.members) member.cutFromList = true;
    this.fleet.start().cutFromPeers = true;
    run(this, seconds);
  },
);

When(
  'each is replaced under a new name, one every {int} seconds, with half of the limit in demand',
  function (this: LimitWorld, seconds: number) {
    const demand = 0.5 / this.fleet.members.length;
    this.asked = 0;
    this.refused = 0;
    for (const member of this.fleet.members) member.demand = demand;
    run(this, LOAN_SECONDS);
    for (const member of [...this.fleet.members]) {
      this.fleet.kill(member);
      this.fleet.delist(member.name);
      const successor = this.fleet.start();
      // It is given callers once it is ready, about a second after it is listed.
      successor.demand = 0;
      run(this, 1);
      successor.demand = demand;
      for (let tick = 0; tick < (seconds - 1) * SECOND; tick += 1) {
        run(this, 1 / SECOND);
        countRefused(this);
      }
    }
    this.log(`${((100 * this.refused) / this.asked).toFixed(2)} % of the demand was refused`);
  },
);

function countRefused(world: LimitWorld): void {
  for (const member of world.fleet.members) {
    const part = world.fleet.usable(member) / LIMITED.limits.requestsPerSecond;
    world.asked += member.demand;
    world.refused += Math.max(0, member.demand - part);
  }
}

Then(
  'less than {float} of that demand was above the limit shares',
  function (this: LimitWorld, part: number) {
    assert.ok(this.refused < part * this.asked, `${this.refused} of ${this.asked}`);
  },
);

Then('the limit shares never add up to more than the whole limit', function (this: LimitWorld) {
  assert.ok(this.mostSum > 0.3, `nothing was shared out: ${this.mostSum}`);
  assert.ok(this.mostSum <= 1 + ROUNDING, `shares added up to ${this.mostSum}`);
});

Then('its limit share is the guaranteed part of one entry', function (this: LimitWorld) {
  const share = this.hot.share?.requestsPerSecond ?? 0;
  const guaranteed = (OPTIONS.guaranteedFraction / OPTIONS.mostEntries) * 1_000;
  assert.ok(Math.abs(share - guaranteed) < ROUNDING, `share is ${share}`);
});

Then(
  'its first admission after waking goes by the limit share that it has without loans',
  function (this: LimitWorld) {
    const stale = this.hot.share;
    assert.ok(stale && stale.requestsPerSecond > 900, 'it had borrowed before the pause');
    const awake = this.fleet.now * this.hot.clockRate + this.hot.clockOffset;
    const used = shareAt(stale, awake).requestsPerSecond;
    assert.ok(used <= 30 + ROUNDING, `it would use ${used}`);
  },
);

Then(
  'that entry may use more than {float} of the limit',
  function (this: LimitWorld, part: number) {
    const share = this.hot.share?.requestsPerSecond ?? 0;
    assert.ok(share > part * LIMITED.limits.requestsPerSecond, `share is ${share}`);
  },
);

Then(
  'the limit shares add up to more than {float} of the limit',
  function (this: LimitWorld, part: number) {
    assert.ok(this.fleet.sum() > part, `sum is ${this.fleet.sum()}`);
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
  // The series are drawn by the properties below.
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
    const most = burst + (share.requestsPerSecond * now) / 1_000 + ROUNDING;
    return admitted <= most && concurrent <= 5;
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
