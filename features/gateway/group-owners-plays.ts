/**
 * What happens to gateways and engines in the model of owners: few steps in each possible order, or much of
 * everything, drawn from a seed.
 */
import assert from 'node:assert/strict';
import type { GroupOwnersModel, OrderTrouble } from './group-owners-model.js';

export type Step = (model: GroupOwnersModel) => void;

const A = 0;
const B = 1;
/** Time in which a group is ordered, ready and open. */
const STEP_MS = 800;
const END_MS = 3_000;
/** Time within which an order without an answer is carried out; its members may stay unused for as long. */
const LATEST_MS = 12_000;
const SILENT_MS = 5_000;
/** With this, a member that has joined again can still look free. */
const COPY_LAG_MS = 300;
const MOMENT_MS = 200;
const ROUND_MS = 500;
/** Time after a long run in which gateways and engines recover; late orders take 12 s. */
const CALM_MS = 24_000;

const STEPS: Readonly<Record<string, Step>> = {
  'A owns the domain': (model) => {
    model.setOwner(A, true);
  },
  'A owns it no more': (model) => {
    model.setOwner(A, false);
  },
  'B owns the domain': (model) => {
    model.setOwner(B, true);
  },
  'B sees the newest state': (model) => {
    model.note('B', 'sees the newest state');
    model.catchUp(B);
  },
};

const COPY_STEPS: Readonly<Record<string, Step>> = {
  ...STEPS,
  'the head does not answer B': (model) => {
    model.silence(B, 'i-1', SILENT_MS);
  },
};

/** What happens to a member, in this order, among the other steps. */
export const MEMBER_STEPS: Readonly<Record<string, readonly Step[]>> = {
  'a member does not answer B': [
    (model) => {
      model.silence(B, 'i-2', SILENT_MS);
    },
  ],
  "a member's entry is not readable for a while": [
    (model) => {
      model.setLeaving('i-2', true);
    },
    (model) => {
      model.setLeaving('i-2', false);
    },
  ],
  'an engine starts': [
    (model) => {
      model.startEngine('i-0');
    },
  ],
  'a member restarts': [
    (model) => {
      model.crash('i-2', true);
    },
  ],
};

/** What happens in a long run, as chances in each round. */
export interface Trouble {
  oldViews?: number;
  /** Chance that a gateway becomes or ceases to be an owner beside the others. */
  owners?: number;
  silences?: number;
  crashes?: number;
  restores?: number;
  orders?: OrderTrouble;
}

const LATE_ORDERS: OrderTrouble = { late: 0.25, lost: 0.1, doubled: 0.4, lostWrites: 0.05 };
export const TROUBLES: Readonly<Record<string, Trouble>> = {
  'members leave, but all else is calm': {},
  'gateways return with old views': { oldViews: 0.2, silences: 0.4 },
  'several gateways own the domain': { owners: 0.15 },
  'orders are late, lost and doubled': { orders: LATE_ORDERS, silences: 0.8 },
  'engines crash and restart': { crashes: 0.15 },
  'the store returns from an older copy': { restores: 0.08 },
  'all of this happens': {
    oldViews: 0.05,
    owners: 0.1,
    crashes: 0.1,
    restores: 0.02,
    orders: LATE_ORDERS,
  },
};

/** All different orders of `steps`; equal ones keep their order. */
export function listOrders(steps: readonly string[]): string[][] {
  if (steps.length === 0) return [[]];
  return [...new Set(steps)].flatMap((first) => {
    const rest = [...steps];
    rest.splice(rest.indexOf(first), 1);
    return listOrders(rest).map((order) => [first, ...order]);
  });
}

export async function playOrder(
  model: GroupOwnersModel,
  order: readonly string[],
  memberSteps: readonly Step[],
): Promise<void> {
  await model.run(STEP_MS);
  model.setLag(B, Infinity);
  const remaining = [...memberSteps];
  for (const name of order) {
    const step = STEPS[name] ?? remaining.shift();
    step?.(model);
    await model.run(STEP_MS);
  }
  model.note('B', 'follows the store');
  model.setLag(B, 0);
  model.setOwner(B, false);
  model.setOwner(A, true);
  await model.run(END_MS);
}

/** Plays `order` after A has owned the domain, while copies of all orders to join so far arrive at some time. */
export async function playCopy(
  model: GroupOwnersModel,
  order: readonly string[],
  arrivesAfterMs: number,
): Promise<void> {
  model.setLag(B, COPY_LAG_MS);
  await model.run(STEP_MS);
  model.losesAnswers = true;
  model.setOwner(A, true);
  await model.run(STEP_MS);
  model.losesAnswers = false;
  model.after(arrivesAfterMs, () => {
    model.repeatJoins();
  });
  for (const name of order) {
    COPY_STEPS[name]?.(model);
    await model.run(STEP_MS);
  }
  await model.run(END_MS + LATEST_MS);
}

/**
 * Both gateways own the domain and know the same, until what B knows stands still for a while, in which A gets no
 * answer from the head.
 */
export async function playStandingView(
  model: GroupOwnersModel,
  silentAfterMs: number,
): Promise<void> {
  await model.run(STEP_MS);
  model.setLag(B, Infinity);
  model.setOwner(A, true);
  model.setOwner(B, true);
  await model.run(STEP_MS * 2 + silentAfterMs);
  model.setLag(A, COPY_LAG_MS);
  model.silence(A, 'i-1', SILENT_MS);
  await model.run(STEP_MS * 2);
  model.setLag(B, 0);
  model.setOwner(B, false);
  await model.run(SILENT_MS + END_MS);
}

/**
 * For a moment B owns the domain beside A and repeats orders to join that A has had answers to; B gets none. Copies of
 * them arrive as A gets no answer from the head.
 */
export async function playCopyOfOther(
  model: GroupOwnersModel,
  arrivesAfterMs: number,
): Promise<void> {
  await model.run(STEP_MS);
  model.setLag(B, Infinity);
  model.setOwner(A, true);
  await model.run(MOMENT_MS);
  model.losesAnswers = true;
  model.setOwner(B, true);
  await model.run(MOMENT_MS);
  model.losesAnswers = false;
  model.setOwner(B, false);
  model.setLag(B, 0);
  await model.run(STEP_MS);
  model.setLag(A, COPY_LAG_MS);
  model.silence(A, 'i-1', SILENT_MS);
  model.after(arrivesAfterMs, () => {
    model.repeatJoins();
  });
  await model.run(SILENT_MS + END_MS);
}

/** Restores the store from a copy without the plan; B starts and owns the domain, and learns after `lagMs`. */
export async function playRestore(model: GroupOwnersModel, lagMs: number): Promise<void> {
  await model.run(STEP_MS);
  model.setOwner(A, true);
  await model.run(STEP_MS);
  model.setOwner(A, false);
  model.restore(STEP_MS);
  model.setLag(B, lagMs);
  model.restartGateway(B);
  model.setOwner(B, true);
  await model.run(END_MS + lagMs);
}

export async function playTrouble(
  model: GroupOwnersModel,
  trouble: Trouble,
  ms: number,
): Promise<void> {
  const { oldViews = 0, owners = 0, silences = 0.1, crashes = 0, restores = 0 } = trouble;
  const gateways = [0, 1, 2];
  const anyEngine = (): string => pick(model, model.engineIds);
  let owner = 0;
  const handOver = (to: number): void => {
    if (owners === 0) for (const each of gateways) model.setOwner(each, each === to);
    else model.setOwner(to, true);
    owner = to;
  };
  handOver(owner);
  for (let rounds = ms / ROUND_MS; rounds > 0; rounds -= 1) {
    if (model.chance(0.08)) handOver(pick(model, gateways));
    if (model.chance(0.1)) model.setLag(pick(model, gateways), model.draw(600));
    if (model.chance(0.08)) model.drain(anyEngine(), 2_000 + model.draw(4_000));
    if (model.chance(silences)) model.silence(pick(model, gateways), anyEngine(), 1_500);
    if (model.chance(0.04)) model.restartGateway(pick(model, gateways));
    if (model.chance(crashes)) model.crash(anyEngine(), model.chance(0.5));
    if (model.chance(restores)) {
      model.restore(1_000 + model.draw(4_000));
      const starting = pick(model, gateways);
      model.setLag(starting, model.draw(2_000));
      if (model.chance(0.5)) model.restartGateway(starting);
      if (model.chance(0.8)) handOver(starting);
    }
    if (model.chance(owners)) model.setOwner(pick(model, gateways), model.chance(0.6));
    if (model.chance(oldViews)) returnWithOldView(model, pick(model, gateways), handOver);
    await model.run(ROUND_MS);
  }
  model.calmDown();
  await model.run(CALM_MS / 2);
  // What was begun before may have changed a gateway once more.
  model.calmDown();
  await model.run(CALM_MS / 2);
}

/** A gateway loses the store, and owns the domain as soon as it reaches it, before it learns of the entries. */
function returnWithOldView(
  model: GroupOwnersModel,
  gateway: number,
  handOver: (to: number) => void,
): void {
  const awayMs = 1_000 + model.draw(5_000);
  model.setReachable(gateway, false);
  model.setLag(gateway, Infinity);
  model.after(awayMs, () => {
    model.setReachable(gateway, true);
    handOver(gateway);
  });
  model.after(awayMs + model.draw(4_000), () => {
    model.setLag(gateway, model.draw(600));
  });
}

function pick<Item>(model: GroupOwnersModel, items: readonly Item[]): Item {
  const item = items[Math.floor(model.draw(items.length))];
  assert.ok(item !== undefined, 'nothing to pick from');
  return item;
}
