/**
 * Simulates entries that compete for one domain, each with its own drifting clock.
 */
import type { Random } from '../../src/core/random/index.js';
import {
  beginWrite,
  CLOCK_DRIFT,
  applyRead,
  createDomainState,
  decideOwnership,
  markWriteUncertain,
  findOrderStart,
  mayOrder,
  observePlan,
  type DomainState,
  type StoredPlan,
} from '../../src/controllers/replicas/index.js';

/** The time during which an order may be in flight, in simulated real time. */
export interface OrderInterval {
  entry: string;
  from: number;
  until: number;
}

/** Result of one simulation. */
export interface LeaseHistory {
  orders: readonly OrderInterval[];
  terms: number;
}

interface SimulatedEntry {
  name: string;
  clockRate: number;
  clockOffset: number;
  suspendedUntil: number;
  /** Has no connection to the store until then but keeps sending orders. */
  partitionedUntil: number;
  state: DomainState;
}

/** An event for an entry, due at a real time and deferred while the entry is suspended. */
interface Delivery {
  at: number;
  to: SimulatedEntry;
  apply: (entry: SimulatedEntry, localNow: number) => void;
}

const LEASE_MS = 3_000;
const ORDER_TIMEOUT_MS = 500;
const TICK_MS = 50;
const END_MS = 60_000;

/** Runs one simulation; `random` determines delays, lost responses, partitions and suspensions. */
export function simulateLeases(count: number, random: Random): LeaseHistory {
  const entries = Array.from({ length: count }, (_, at) => createSimulatedEntry(at, random));
  const orders: OrderInterval[] = [];
  const deliveries: Delivery[] = [];
  let stored: StoredPlan | undefined;

  const schedule = (to: SimulatedEntry, at: number, apply: Delivery['apply']): void => {
    deliveries.push({ at, to, apply });
  };
  const publish = (object: StoredPlan, at: number): void => {
    stored = object;
    for (const entry of entries) {
      const observedAt = Math.max(at, entry.partitionedUntil) + drawDelay(400, random);
      schedule(entry, observedAt, (to, now) => {
        to.state = observePlan(to.state, object, identify(to), now);
      });
    }
  };
  const read = (entry: SimulatedEntry, at: number): void => {
    if (entry.partitionedUntil > at) return;
    const object = stored;
    schedule(entry, at + drawDelay(200, random), (to, now) => {
      to.state = applyRead(to.state, object, identify(to), now);
    });
  };
  const write = (entry: SimulatedEntry, at: number): void => {
    const localNow = readClock(entry, at);
    // Every entry ranks itself first, as when they are isolated from each other.
    const context = { self: identify(entry), rank: 0, leaseMs: LEASE_MS };
    const action = decideOwnership(entry.state, context, undefined, localNow);
    if (action.kind === 'read') read(entry, at);
    if (action.kind !== 'write') return;
    const nonce = `${entry.name}/${at}`;
    const firstOrderAt = findOrderStart(entry.state, action.purpose, ORDER_TIMEOUT_MS);
    const pending = { nonce, sentAt: localNow, purpose: action.purpose, firstOrderAt };
    entry.state = beginWrite(entry.state, pending);
    if (entry.partitionedUntil > at) {
      schedule(entry, at + drawDelay(600, random), (to) => {
        to.state = markWriteUncertain(to.state);
      });
      return;
    }
    const arrivesAt = at + drawDelay(600, random);
    const { expected, plan } = action;
    schedule(STORE, arrivesAt, () => {
      const isExpected = (stored?.version ?? 0) === expected;
      if (isExpected) publish({ version: expected + 1, nonce, plan }, arrivesAt);
      const response = stored;
      const isLost = random.below(10) === 0;
      schedule(entry, arrivesAt + drawDelay(600, random), (to, now) => {
        const uncertain = isLost ? markWriteUncertain(to.state) : undefined;
        to.state = uncertain ?? applyRead(to.state, response, identify(to), now);
      });
    });
  };

  for (let at = 0; at < END_MS; at += TICK_MS) {
    deliver(deliveries, at);
    for (const entry of entries) {
      if (entry.suspendedUntil > at) continue;
      // Suspended for up to two leases; the entry does not notice when it resumes.
      if (random.below(160) === 0) {
        entry.suspendedUntil = at + random.below(2 * LEASE_MS);
        continue;
      }
      if (random.below(300) === 0) entry.partitionedUntil = at + random.below(3 * LEASE_MS);
      write(entry, at);
      const now = readClock(entry, at);
      if (mayOrder(entry.state.lease, now, ORDER_TIMEOUT_MS)) {
        // An order may arrive for as long again after its sender timed out.
        const until = at + (2 * ORDER_TIMEOUT_MS) / entry.clockRate;
        orders.push({ entry: entry.name, from: at, until });
      }
    }
  }
  return { orders, terms: stored?.plan.owner?.term ?? 0 };
}

/** Delivers due events, except to suspended entries. */
function deliver(deliveries: Delivery[], at: number): void {
  const due = deliveries.filter(
    (delivery) => delivery.at <= at && delivery.to.suspendedUntil <= at,
  );
  due.sort((a, b) => a.at - b.at);
  for (const delivery of due) {
    deliveries.splice(deliveries.indexOf(delivery), 1);
    delivery.apply(delivery.to, readClock(delivery.to, at));
  }
}

function createSimulatedEntry(index: number, random: Random): SimulatedEntry {
  const clockRate = 1 + (2 * random.fraction() - 1) * CLOCK_DRIFT;
  const clockOffset = random.below(1_000_000);
  const entry = {
    name: `entry-${index}`,
    clockRate,
    clockOffset,
    suspendedUntil: 0,
    partitionedUntil: 0,
  };
  return { ...entry, state: createDomainState(clockOffset) };
}

/** The store is never suspended. */
const STORE: SimulatedEntry = {
  name: 'store',
  clockRate: 1,
  clockOffset: 0,
  suspendedUntil: 0,
  partitionedUntil: 0,
  state: createDomainState(0),
};

function readClock(entry: SimulatedEntry, at: number): number {
  return entry.clockOffset + at * entry.clockRate;
}

function identify(entry: SimulatedEntry): { entry: string; incarnation: string } {
  return { entry: entry.name, incarnation: 'start-1' };
}

/** Favors short delays, where the margins are tight. */
function drawDelay(maxMs: number, random: Random): number {
  return random.fraction() ** 4 * maxMs;
}
