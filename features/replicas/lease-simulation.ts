/**
 * Entries that compete for one domain in simulated time, each by its own clock.
 */
import type { Random } from '../../src/core/random/index.js';
import {
  beginWrite,
  CLOCK_DRIFT,
  concludeRead,
  createDomainState,
  decideOwnership,
  doubtWrite,
  findOrderStart,
  mayOrder,
  observePlan,
  type DomainState,
  type StoredPlan,
} from '../../src/controllers/replicas/index.js';

/** An order under way, in real time. */
export interface OrderSpan {
  entry: string;
  from: number;
  until: number;
}

/** What a history came to. */
export interface RivalHistory {
  orders: readonly OrderSpan[];
  terms: number;
}

interface Rival {
  name: string;
  rate: number;
  offset: number;
  asleepUntil: number;
  /** Cut off from the store until then, and ordering on. */
  cutUntil: number;
  state: DomainState;
}

/** Something that happens at a real instant, to an entry that may be asleep by then. */
interface Delivery {
  at: number;
  to: Rival;
  apply: (rival: Rival, localNow: number) => void;
}

const LEASE_MS = 3_000;
const ORDER_TIMEOUT_MS = 500;
const TICK_MS = 50;
const END_MS = 60_000;

/** Plays one history; `random` decides delays, losses and sleeps. */
export function playRivals(count: number, random: Random): RivalHistory {
  const rivals = Array.from({ length: count }, (_, at) => createRival(at, random));
  const orders: OrderSpan[] = [];
  const deliveries: Delivery[] = [];
  let stored: StoredPlan | undefined;

  const schedule = (to: Rival, at: number, apply: Delivery['apply']): void => {
    deliveries.push({ at, to, apply });
  };
  const publish = (object: StoredPlan, at: number): void => {
    stored = object;
    for (const rival of rivals) {
      const seenAt = Math.max(at, rival.cutUntil) + draw(400, random);
      schedule(rival, seenAt, (to, now) => {
        to.state = observePlan(to.state, object, identify(to), now);
      });
    }
  };
  const read = (rival: Rival, at: number): void => {
    if (rival.cutUntil > at) return;
    const object = stored;
    schedule(rival, at + draw(200, random), (to, now) => {
      to.state = concludeRead(to.state, object, identify(to), now);
    });
  };
  const write = (rival: Rival, at: number): void => {
    const localNow = readClock(rival, at);
    // Every entry takes itself for the first choice, as when none of them hears another.
    const situation = { self: identify(rival), rank: 0, leaseMs: LEASE_MS };
    const action = decideOwnership(rival.state, situation, undefined, localNow);
    if (action.kind === 'read') read(rival, at);
    if (action.kind !== 'write') return;
    const nonce = `${rival.name}/${at}`;
    const firstOrderAt = findOrderStart(rival.state, action.purpose, ORDER_TIMEOUT_MS);
    const pending = { nonce, sentAt: localNow, purpose: action.purpose, firstOrderAt };
    rival.state = beginWrite(rival.state, pending);
    if (rival.cutUntil > at) {
      schedule(rival, at + draw(600, random), (to) => {
        to.state = doubtWrite(to.state);
      });
      return;
    }
    const arrivesAt = at + draw(600, random);
    const { expected, plan } = action;
    schedule(STORE, arrivesAt, () => {
      const isExpected = (stored?.version ?? 0) === expected;
      if (isExpected) publish({ version: expected + 1, nonce, plan }, arrivesAt);
      const answer = stored;
      const isLost = random.below(10) === 0;
      schedule(rival, arrivesAt + draw(600, random), (to, now) => {
        const seen = isLost ? doubtWrite(to.state) : undefined;
        to.state = seen ?? concludeRead(to.state, answer, identify(to), now);
      });
    });
  };

  for (let at = 0; at < END_MS; at += TICK_MS) {
    deliver(deliveries, at);
    for (const rival of rivals) {
      if (rival.asleepUntil > at) continue;
      // Asleep for up to two leases, without any notice when it wakes.
      if (random.below(160) === 0) {
        rival.asleepUntil = at + random.below(2 * LEASE_MS);
        continue;
      }
      if (random.below(300) === 0) rival.cutUntil = at + random.below(3 * LEASE_MS);
      write(rival, at);
      const now = readClock(rival, at);
      if (mayOrder(rival.state.lease, now, ORDER_TIMEOUT_MS)) {
        // One that its sender gave up may be on its way for as long again.
        const until = at + (2 * ORDER_TIMEOUT_MS) / rival.rate;
        orders.push({ entry: rival.name, from: at, until });
      }
    }
  }
  return { orders, terms: stored?.plan.owner?.term ?? 0 };
}

/** Delivers what is due to whoever is awake; the rest stays for when they wake. */
function deliver(deliveries: Delivery[], at: number): void {
  const due = deliveries.filter((one) => one.at <= at && one.to.asleepUntil <= at);
  due.sort((a, b) => a.at - b.at);
  for (const one of due) {
    deliveries.splice(deliveries.indexOf(one), 1);
    one.apply(one.to, readClock(one.to, at));
  }
}

function createRival(index: number, random: Random): Rival {
  const rate = 1 + (2 * random.fraction() - 1) * CLOCK_DRIFT;
  const offset = random.below(1_000_000);
  const rival = { name: `entry-${index}`, rate, offset, asleepUntil: 0, cutUntil: 0 };
  return { ...rival, state: createDomainState(offset) };
}

/** The store itself never sleeps. */
const STORE: Rival = {
  name: 'store',
  rate: 1,
  offset: 0,
  asleepUntil: 0,
  cutUntil: 0,
  state: createDomainState(0),
};

function readClock(rival: Rival, at: number): number {
  return rival.offset + at * rival.rate;
}

function identify(rival: Rival): { entry: string; incarnation: string } {
  return { entry: rival.name, incarnation: 'start-1' };
}

/** Mostly near 0, where the margins are tight. */
function draw(most: number, random: Random): number {
  return random.fraction() ** 4 * most;
}
