/**
 * Placing of requests by many gateways, without network: the decisions of each against replicas that
 * take a fixed time for each request.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  chooseTarget,
  drawTargets,
  splitByPlace,
  type Target,
  type TargetList,
  type TargetState,
} from '../../src/controllers/forwarding/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';

interface PlacingWorld {
  gateways: number;
  newsEveryMs: number;
  targets: Target[];
  ratePerSecond: number;
  /** The most that any replica had at once, sampled. */
  most: number[];
  isEligible: (target: Target) => boolean;
  compared: number[];
  chosen: Target[];
}

const SLOTS = 24;
const SERVICE_MS = 800;
const STEP_MS = 10;
const WARM_UP_MS = 3_000;
const MS_PER_SECOND = 1_000;
const HOME = 'zone-0';

function createTargets(count: number, failureDomains: number): Target[] {
  return Array.from({ length: count }, (_, index): Target => {
    const failureDomain = `zone-${index % failureDomains}`;
    const id = `head-${index}`;
    const server = { id, service: 'models', address: 'x:1', failureDomain, slots: SLOTS };
    return { server: { ...server, leaving: false }, members: [id] };
  });
}

/** One gateway: what it has under way itself, and what it last heard of all others. */
class ModelGateway {
  readonly own = new Map<string, number>();
  private others = new Map<string, number>();
  private readonly list: TargetList;

  constructor(
    targets: readonly Target[],
    private readonly failureDomain: string,
    private readonly random: Random,
  ) {
    this.list = splitByPlace(targets, failureDomain);
  }

  hear(total: ReadonlyMap<string, number>): void {
    this.others = new Map([...total].map(([id, count]) => [id, count - (this.own.get(id) ?? 0)]));
  }

  choose(): Target | undefined {
    const states = drawTargets(this.list, (target) => this.describe(target), this.random);
    return chooseTarget(states, this.random)?.target;
  }

  private describe(target: Target): TargetState {
    const { id, failureDomain } = target.server;
    return {
      target,
      inFlight: (this.own.get(id) ?? 0) + (this.others.get(id) ?? 0),
      slots: SLOTS,
      isRemote: failureDomain !== this.failureDomain,
      failing: 0,
    };
  }
}

function add(counts: Map<string, number>, id: string, change: number): void {
  counts.set(id, (counts.get(id) ?? 0) + change);
}

Given(
  '{int} gateways that hear of each other every {int} ms',
  function (this: PlacingWorld, gateways: number, newsEveryMs: number) {
    this.gateways = gateways;
    this.newsEveryMs = newsEveryMs;
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
      (_, index) => new ModelGateway(this.targets, `zone-${index % 3}`, random),
    );
    const total = new Map<string, number>();
    const ends: { at: number; gateway: ModelGateway; id: string }[] = [];
    this.most = [];
    for (let now = 0; now < seconds * MS_PER_SECOND; now += STEP_MS) {
      while (ends[0] !== undefined && ends[0].at <= now) {
        const { gateway, id } = ends.shift() ?? ends[0];
        add(gateway.own, id, -1);
        add(total, id, -1);
      }
      gateways.forEach((gateway, index) => {
        const phase = (index * this.newsEveryMs) / this.gateways;
        if ((now - phase) % this.newsEveryMs < STEP_MS) gateway.hear(total);
        const arrives = (this.ratePerSecond * STEP_MS) / MS_PER_SECOND / this.gateways;
        if (random.fraction() >= arrives) return;
        const target = gateway.choose();
        if (target === undefined) return;
        const { id } = target.server;
        add(gateway.own, id, 1);
        add(total, id, 1);
        ends.push({ at: now + SERVICE_MS, gateway, id });
      });
      if (now >= WARM_UP_MS) this.most.push(Math.max(...total.values()));
    }
  },
);

Then('no replica ever has more requests than places', function (this: PlacingWorld) {
  const most = Math.max(...this.most);
  assert.ok(most <= SLOTS, `${most} requests at ${SLOTS} places`);
});

Given(
  '{int} replicas of a model in {int} failure domains',
  function (this: PlacingWorld, replicas: number, domains: number) {
    this.targets = createTargets(replicas, domains);
    this.isEligible = () => true;
  },
);

Given('only one replica of another failure domain can be chosen', function (this: PlacingWorld) {
  const [only] = splitByPlace(this.targets, HOME).far;
  this.isEligible = (target) => target === only;
});

When('a gateway with late news chooses {int} times', function (this: PlacingWorld, times: number) {
  const random = createRandom(1);
  const list = splitByPlace(this.targets, HOME);
  const review = (target: Target): Target | undefined =>
    this.isEligible(target) ? target : undefined;
  const draws = Array.from({ length: times }, () => drawTargets(list, review, random));
  this.compared = draws.map((targets) => targets.length);
  this.chosen = draws.flatMap((targets) => targets.slice(0, 1));
});

Then(
  'it compares at most {int} replicas for each request',
  function (this: PlacingWorld, most: number) {
    assert.ok(Math.max(...this.compared) <= most);
  },
);

Then('each replica of its own failure domain is chosen', function (this: PlacingWorld) {
  const { near } = splitByPlace(this.targets, HOME);
  const missing = near.filter((target) => !this.chosen.includes(target));
  assert.deepEqual(missing, []);
});

Then('it chooses that one each time', function (this: PlacingWorld) {
  assert.ok(this.chosen.length > 0 && this.chosen.every(this.isEligible));
});
