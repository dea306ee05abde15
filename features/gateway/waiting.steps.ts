/**
 * Queueing decisions, with a simulated clock and without a network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { firstEventTimeout } from '../../src/controllers/forwarding/index.js';
import { PeerTable, type Digest } from '../../src/controllers/peering/index.js';
import {
  FirstEventTimes,
  hasRoom,
  listUnservable,
  orderQueue,
  type WaitingRequest,
} from '../../src/controllers/waiting/index.js';
import type { Milliseconds } from '../../src/core/clock/index.js';
import type { EngineProfile, GroupModel } from '../../src/ports/index.js';

interface NamedRequest extends WaitingRequest {
  name: string;
}

interface WaitingWorld {
  now: Milliseconds;
  queue: NamedRequest[];
  arrivals: Milliseconds[];
  targetMs: Milliseconds;
  sendIntervalMs: Milliseconds;
  firstEventMs: Milliseconds;
  target: { inFlight: number; slots: number };
  firstEvents: FirstEventTimes;
  peers: PeerTable;
}

const SECOND_MS = 1_000;
const MODEL = 'm';
const PLAIN_MODEL = { pace: 1 } as GroupModel;
const PROFILE = { promptTokensPerMs: 40 } as EngineProfile;

Given(
  '{int} requests a second for {int} s that are to begin within {int} ms, and {int} places a second',
  function (
    this: WaitingWorld,
    rate: number,
    seconds: number,
    targetMs: number,
    slotsPerSecond: number,
  ) {
    const gapMs = SECOND_MS / rate;
    this.arrivals = Array.from({ length: rate * seconds }, (_, index) => index * gapMs);
    this.targetMs = targetMs;
    this.sendIntervalMs = SECOND_MS / slotsPerSecond;
  },
);

When(
  'their first events take {int} ms from the sending on',
  function (this: WaitingWorld, firstEventMs: number) {
    this.firstEventMs = firstEventMs;
  },
);

/** Returns the fraction of sent requests whose first event arrives in time. */
function simulateQueue(
  { arrivals, targetMs, sendIntervalMs, firstEventMs }: WaitingWorld,
  pick: (waiting: readonly NamedRequest[], now: Milliseconds) => NamedRequest | undefined,
): number {
  let waiting: NamedRequest[] = [];
  let arrived = 0;
  let sent = 0;
  let inTime = 0;
  for (let now = 0; now <= (arrivals.at(-1) ?? 0); now += sendIntervalMs) {
    for (; (arrivals[arrived] ?? Infinity) <= now; arrived += 1) {
      const since = arrivals[arrived] ?? 0;
      const onTimeUntil = since + targetMs - firstEventMs;
      waiting.push({ name: '', rank: 1, since, onTimeUntil, worthUntil: Infinity });
    }
    const next = pick(waiting, now);
    if (next === undefined) continue;
    waiting = waiting.filter((each) => each !== next);
    sent += 1;
    if (now + firstEventMs - next.since <= targetMs) inTime += 1;
  }
  return inTime / sent;
}

Then(
  'at least {int} in 100 of those that were sent in the order of the line begin in time',
  function (this: WaitingWorld, percent: number) {
    const fraction = simulateQueue(this, (waiting, now) => orderQueue(waiting, now)[0]);
    assert.ok(fraction >= percent / 100, String(fraction));
  },
);

Then(
  'in the order of arrival at most {int} in 100 would',
  function (this: WaitingWorld, percent: number) {
    const fraction = simulateQueue(this, (waiting) => waiting[0]);
    assert.ok(fraction <= percent / 100, String(fraction));
  },
);

Given(
  'a line of these requests at {int} ms',
  function (this: WaitingWorld, now: number, table: DataTable) {
    this.now = now;
    this.queue = table.hashes().map((row) => ({
      name: row.name ?? '',
      rank: Number(row.rank),
      since: Number(row.since),
      onTimeUntil: Number(row['on time until']),
      worthUntil: Infinity,
    }));
  },
);

Then('their turns are {string}', function (this: WaitingWorld, turns: string) {
  const names = orderQueue(this.queue, this.now).map(({ name }) => name);
  assert.equal(names.join(', '), turns);
});

Given(
  'a line of {int} requests at {int} ms that are worth an answer until {int} ms',
  function (this: WaitingWorld, count: number, now: number, worthUntil: number) {
    this.now = now;
    this.queue = Array.from({ length: count }, (_, index) => ({
      name: String(index),
      rank: 1,
      since: index,
      onTimeUntil: 0,
      worthUntil,
    }));
  },
);

Then(
  'none is refused while the line is younger than {int} ms',
  function (this: WaitingWorld, ageMs: number) {
    const pace = { since: this.now - ageMs + 1, sent: 0 };
    assert.deepEqual(listUnservable(orderQueue(this.queue, this.now), this.now, pace), []);
  },
);

Then(
  '{int} are refused after {int} ms in which {int} were sent, which leaves one at once and twice their pace',
  function (this: WaitingWorld, refused: number, ageMs: number, sent: number) {
    const ordered = orderQueue(this.queue, this.now);
    const hopeless = listUnservable(ordered, this.now, { since: this.now - ageMs, sent });
    assert.equal(hopeless.length, refused);
    assert.deepEqual(hopeless, ordered.slice(-hopeless.length));
  },
);

Then('all are refused at {int} ms', function (this: WaitingWorld, now: number) {
  const hopeless = listUnservable(orderQueue(this.queue, now), now, { since: now, sent: 0 });
  assert.equal(hopeless.length, this.queue.length);
});

Given(
  'a target with {int} places and {int} requests under way',
  function (this: WaitingWorld, slots: number, inFlight: number) {
    this.target = { inFlight, slots };
  },
);

Then(/^it has (room|no room)$/, function (this: WaitingWorld, room: string) {
  assert.equal(hasRoom(this.target), room === 'room');
});

Given('first events of a model that take {int} ms', function (this: WaitingWorld, ms: number) {
  this.firstEvents = new FirstEventTimes();
  this.firstEvents.record(MODEL, ms);
});

When('they take {int} ms', function (this: WaitingWorld, ms: number) {
  for (let event = 0; event < 200; event += 1) this.firstEvents.record(MODEL, ms);
});

Then('a replica is suspected after {int} ms', function (this: WaitingWorld, ms: number) {
  const expectedMs = this.firstEvents.expect(MODEL, 300);
  assert.equal(Math.round(firstEventTimeout(PROFILE, PLAIN_MODEL, 0, expectedMs)), ms);
});

Given(
  'a gateway that has just started and knows of {int} others',
  function (this: WaitingWorld, others: number) {
    this.peers = new PeerTable(peerOf(0));
    for (let index = 1; index <= others; index += 1) this.peers.addPeer(peerOf(index), 0);
  },
);

When('it has heard {int} of them', function (this: WaitingWorld, heard: number) {
  for (let index = 1; index <= heard; index += 1) this.peers.applyDigest(digestOf(index), 100);
  this.peers.removeTimedOut(100);
});

Then(
  'it reckons with {int} gateways that it has not heard',
  function (this: WaitingWorld, unheard: number) {
    assert.equal(this.peers.countUnheard(), unheard);
  },
);

function peerOf(index: number) {
  return {
    name: `gateway-${index}`,
    address: `127.0.0.1:${7_000 + index}`,
    failureDomain: 'north',
  };
}

function digestOf(index: number): Digest {
  return {
    ...peerOf(index),
    incarnation: 'first',
    storeReachable: true,
    stopping: false,
    hasServed: true,
    configurationVersion: 1,
    fleetRevision: 1,
    load: [],
    suspicions: [],
  };
}
