/**
 * A hub that passes suspicions on, without a network.
 */
import assert from 'node:assert/strict';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { KnownPeer, ReportedSuspicion } from '../../src/controllers/peering/index.js';
import { createManualClock, type ManualClock } from '../../src/core/clock/index.js';
import { SuspicionRelay } from '../../src/gateway/peers/suspicion-relay.js';

interface SuspicionRelayWorld {
  clock: ManualClock;
  relay: SuspicionRelay;
  relayPeers: readonly KnownPeer[];
  /** Suspicions of each call, by the member's name. */
  calls: Map<string, (readonly ReportedSuspicion[])[]>;
  answer: () => void;
}

const SOUND = 'gateway-1';
const BUSY = 'gateway-2';
const LONG_MS = 5_000;
/** More than a relayed call takes to begin. */
const TURNS = 20;

async function takeTurns(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) await nextTurn();
}

function suspect(server: string, leftMs = LONG_MS): ReportedSuspicion {
  return { server, ageMs: 0, leftMs };
}

function callsOf({ calls }: SuspicionRelayWorld, name: string): (readonly ReportedSuspicion[])[] {
  return calls.get(name) ?? [];
}

Given(
  'a hub that relays suspicions to 2 members, of which one does not answer',
  function (this: SuspicionRelayWorld) {
    this.clock = createManualClock();
    this.calls = new Map();
    this.relayPeers = [SOUND, BUSY].map((name) => ({
      name,
      address: name,
      failureDomain: 'north',
    }));
    this.relay = new SuspicionRelay(this.clock, ({ name }, suspicions) => {
      this.calls.set(name, [...callsOf(this, name), suspicions]);
      if (name === SOUND || callsOf(this, name).length > 1) return Promise.resolve();
      return new Promise((resolve) => {
        this.answer = resolve;
      });
    });
  },
);

When(
  'it learns of {int} servers, one after the other',
  async function (this: SuspicionRelayWorld, count: number) {
    for (let index = 0; index < count; index += 1) {
      this.relay.relay(this.relayPeers, [suspect(`server-${index}`)]);
      await takeTurns();
    }
  },
);

Then(
  'the member that answers hears of all {int}',
  function (this: SuspicionRelayWorld, count: number) {
    const heard = callsOf(this, SOUND).flat();
    assert.equal(new Set(heard.map(({ server }) => server)).size, count);
  },
);

Then('the other one has got {int} call', function (this: SuspicionRelayWorld, count: number) {
  assert.equal(callsOf(this, BUSY).length, count);
});

When('the other one answers', async function (this: SuspicionRelayWorld) {
  this.answer();
  await takeTurns();
});

Then(
  'its second call tells of the other {int}',
  function (this: SuspicionRelayWorld, count: number) {
    const [first = [], second = [], ...more] = callsOf(this, BUSY);
    assert.equal(second.length, count);
    assert.equal(new Set([...first, ...second].map(({ server }) => server)).size, count + 1);
    assert.deepEqual(more, []);
  },
);

When(
  'it learns of a server, of another one for {int} ms, and of a third one for {int} ms',
  async function (this: SuspicionRelayWorld, secondMs: number, thirdMs: number) {
    this.relay.relay(this.relayPeers, [suspect('first')]);
    await takeTurns();
    this.relay.relay(this.relayPeers, [suspect('second', secondMs), suspect('third', thirdMs)]);
  },
);

When(
  'the other one answers after {int} ms',
  async function (this: SuspicionRelayWorld, ms: number) {
    this.clock.advance(ms);
    this.answer();
    await takeTurns();
  },
);

Then(
  'its second call tells of the third server alone, for {int} ms',
  function (this: SuspicionRelayWorld, leftMs: number) {
    const [, second = []] = callsOf(this, BUSY);
    assert.deepEqual(
      second.map(({ server, leftMs: left }) => [server, left]),
      [['third', leftMs]],
    );
  },
);
