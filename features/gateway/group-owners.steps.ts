/**
 * Holds rules on engines in groups against real planning by gateways that know different moments.
 */
import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { GroupOwnersModel } from './group-owners-model.js';
import {
  listOrders,
  MEMBER_STEPS,
  playCopy,
  playCopyOfOther,
  playOrder,
  playRestore,
  playStandingView,
  playTrouble,
  TROUBLES,
} from './group-owners-plays.js';

/** The outcome of one run of the model. */
interface Run {
  name: string;
  model: GroupOwnersModel;
}

interface OwnersWorld {
  runs: Run[];
}

const FIRST_SEED = 641;
const SCENARIO_TIMEOUT_MS = 60_000;
/** Orders without an answer are carried out at any time; that of each step and after it. */
const COPY_SPAN_MS = 3_200;
const COPY_INTERVAL_MS = 100;
/** Orders to join are repeated each 900 ms. */
const STANDING_SPAN_MS = 1_000;
const MAX_LAG_MS = 3_000;

/** A domain of groups of three, and the gateways A and B. */
function createPairModel(engines: number, seed = 1): GroupOwnersModel {
  return new GroupOwnersModel({ gateways: 2, engines, sizes: { large: 3 }, seed });
}

Given(
  /^(?:\d engines for groups of 3, and gateways A and B.*|3 gateways that own a domain of 11 engines)$/,
  function (this: OwnersWorld) {
    this.runs = [];
  },
);

When(
  /^these steps happen in each possible order, and (.+):$/,
  { timeout: SCENARIO_TIMEOUT_MS },
  async function (this: OwnersWorld, member: string, table: DataTable) {
    const memberSteps = MEMBER_STEPS[member];
    assert.ok(memberSteps);
    const steps = [...table.raw().flat(), ...memberSteps.map(() => member)];
    for (const order of listOrders(steps)) {
      const model = createPairModel(4);
      await playOrder(model, order, memberSteps);
      this.runs.push({ name: order.join(', '), model });
    }
  },
);

When(
  /^for (\d+) s, with each of (\d+) seeds, (.+)$/,
  { timeout: SCENARIO_TIMEOUT_MS },
  async function (this: OwnersWorld, seconds: string, seeds: string, name: string) {
    const trouble = TROUBLES[name];
    assert.ok(trouble);
    for (let seed = FIRST_SEED; seed < FIRST_SEED + Number(seeds); seed += 1) {
      const model = new GroupOwnersModel({
        gateways: 3,
        engines: 11,
        sizes: { large: 4, small: 2 },
        seed,
        isUneven: true,
        ...(trouble.orders && { trouble: trouble.orders }),
      });
      await playTrouble(model, trouble, Number(seconds) * 1_000);
      this.runs.push({ name: `seed ${seed}`, model });
    }
  },
);

When(
  'A has owned it, and in each possible order, as copies of the orders to join arrive at each time:',
  { timeout: SCENARIO_TIMEOUT_MS },
  async function (this: OwnersWorld, table: DataTable) {
    for (const order of listOrders(table.raw().flat()))
      for (let ms = 0; ms < COPY_SPAN_MS; ms += COPY_INTERVAL_MS) {
        const model = createPairModel(5);
        await playCopy(model, order, ms);
        this.runs.push({ name: `${order.join(', ')}, copies after ${ms} ms`, model });
      }
  },
);

When(
  'the store returns without the plan, and B starts, owns the domain and learns of entries at each age up to 3 s',
  { timeout: SCENARIO_TIMEOUT_MS },
  async function (this: OwnersWorld) {
    for (let ms = 0; ms <= MAX_LAG_MS; ms += COPY_INTERVAL_MS) {
      const model = createPairModel(5, FIRST_SEED + ms);
      await playRestore(model, ms);
      this.runs.push({ name: `after ${ms} ms`, model });
    }
  },
);

When(
  'both own it, what B knows stands still, and at each time the head does not answer A',
  { timeout: SCENARIO_TIMEOUT_MS },
  async function (this: OwnersWorld) {
    for (let ms = 0; ms < STANDING_SPAN_MS; ms += COPY_INTERVAL_MS) {
      const model = createPairModel(5);
      await playStandingView(model, ms);
      this.runs.push({ name: `after ${ms} ms`, model });
    }
  },
);

When(
  'B owns it for a moment beside A, and copies of its orders to join arrive at each time as the head does not answer A',
  { timeout: SCENARIO_TIMEOUT_MS },
  async function (this: OwnersWorld) {
    for (let ms = 0; ms < COPY_SPAN_MS; ms += COPY_INTERVAL_MS) {
      const model = createPairModel(5);
      await playCopyOfOther(model, ms);
      this.runs.push({ name: `copies after ${ms} ms`, model });
    }
  },
);

Then('no engine was in two groups and no group was partial', function (this: OwnersWorld) {
  const broken = this.runs.filter(({ model }) => model.engines.breaches.length > 0);
  if (broken.length === 0) return;
  const texts = broken.flatMap(({ name, model }) => {
    const [first] = model.engines.breaches;
    return first ? [`${name}: ${first.rule} after ${first.at} ms, ${first.text}`] : [];
  });
  const shortest = [...broken].sort((a, b) => firstBreach(a) - firstBreach(b))[0];
  const trace = shortest?.model.traceUntil(firstBreach(shortest)) ?? '';
  const count = `${broken.length} of ${this.runs.length} runs broke a rule`;
  assert.fail([count, ...texts.slice(0, 8), `--- ${shortest?.name ?? ''}`, trace].join('\n'));
});

Then(
  /^(a|\d+) groups? (?:is|are) open at the end of each$/,
  function (this: OwnersWorld, least: string) {
    assert.ok(this.runs.length > 0);
    const count = least === 'a' ? 1 : Number(least);
    const idle = this.runs.filter(({ model }) => model.engines.openGroups < count);
    if (idle.length === 0) return;
    const texts = idle.map(({ name, model }) => `${name}: ${model.engines.describe()}`);
    const failure = `${idle.length} of ${this.runs.length} runs end with too few open groups`;
    assert.fail([failure, ...texts.slice(0, 8), idle[0]?.model.traceUntil(Infinity)].join('\n'));
  },
);

function firstBreach({ model }: Run): number {
  return model.engines.breaches[0]?.at ?? Infinity;
}
