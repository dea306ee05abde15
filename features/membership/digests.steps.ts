/**
 * Properties of the exchange of digests, on manual time and over an unreliable network.
 */
import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  advanceSelf,
  composeMessage,
  confirmMessage,
  createGossipState,
  planRound,
  receiveMessage,
  refillBudget,
  type DigestContent,
  type DigestMessage,
  type GossipState,
} from '../../src/controllers/membership/index.js';
import { createRandom } from '../../src/core/random/index.js';

const SEED = 1_203;
const NODES = ['a', 'b', 'c', 'd'] as const;
const STEP_MS = 100;

function createContent(revision: number): DigestContent {
  return {
    peerAddress: '127.0.0.1:1',
    region: 'default',
    failureDomain: 'site',
    revision,
    ready: true,
    stopping: false,
    platform: 'unwatched',
    draining: [],
    sent: [],
    demands: [],
    leaving: [],
    extensions: {},
  };
}

function compose(from: GossipState, to: string, now: number): DigestMessage {
  const question = {
    target: to,
    relayed: [...from.peers.values()],
    summaries: [],
    heartbeatGapMs: STEP_MS,
    budgetBytes: 3_000,
  };
  return composeMessage(from, question, now);
}

/** Every revision that an entry ever had, by incarnation and change: the truth to compare with. */
type Truth = Map<string, number>;

function checkPeers(state: GossipState, truth: Truth): void {
  for (const { incarnation, change, content } of state.peers.values()) {
    assert.equal(content.revision, truth.get(`${incarnation}/${change}`));
  }
}

const step = fc.record({
  from: fc.nat({ max: 3 }),
  to: fc.nat({ max: 3 }),
  fate: fc.constantFrom('delivered', 'lost', 'answerLost', 'doubled', 'late', 'restarted'),
  isNew: fc.boolean(),
});

Then('digests under any delivery are never taken for newer than they are, and all converge', () => {
  const property = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    let now = 0;
    const truth: Truth = new Map();
    const late: { to: number; message: DigestMessage }[] = [];
    const starts = [0, 0, 0, 0];
    const create = (index: number): GossipState => {
      const name = NODES[index] ?? '';
      const incarnation = `${name}${starts[index] ?? 0}`;
      truth.set(`${incarnation}/1`, 0);
      return createGossipState(name, incarnation, createContent(0), now);
    };
    const states = NODES.map((_, index) => create(index));
    const stateOf = (index: number): GossipState => states[index] ?? create(index);
    const advance = (state: GossipState, isNew: boolean): void => {
      const { revision } = state.self.content;
      advanceSelf(state, createContent(isNew ? revision + 1 : revision), now);
      const { incarnation, change, content } = state.self;
      truth.set(`${incarnation}/${change}`, content.revision);
    };
    const exchange = (from: number, to: number, isAnswered: boolean): void => {
      const [one, other] = [stateOf(from), stateOf(to)];
      const message = compose(one, other.self.name, now);
      receiveMessage(other, message, now);
      const answer = compose(other, one.self.name, now);
      if (!isAnswered) return;
      receiveMessage(one, answer, now);
      confirmMessage(one, other.self.name, message, now);
    };
    const perform = ({ from, to, fate, isNew }: (typeof steps)[number]): void => {
      if (from === to) return;
      advance(stateOf(from), isNew);
      const message = compose(stateOf(from), NODES[to] ?? '', now);
      switch (fate) {
        case 'lost':
          return;
        case 'late':
          late.push({ to, message });
          return;
        case 'restarted':
          starts[from] = (starts[from] ?? 0) + 1;
          states[from] = create(from);
          return;
        case 'doubled':
          receiveMessage(stateOf(to), message, now);
          receiveMessage(stateOf(to), message, now);
          return;
        case 'delivered':
        case 'answerLost':
          exchange(from, to, fate === 'delivered');
      }
    };
    for (const [index, taken] of steps.entries()) {
      now += STEP_MS;
      perform(taken);
      if (index % 5 === 4)
        for (const { to, message } of late.splice(0)) {
          receiveMessage(stateOf(to), message, now);
        }
      for (const state of states) checkPeers(state, truth);
    }
    // Fair rounds: everybody exchanges with everybody, twice.
    for (let round = 0; round < 2; round += 1) {
      for (const from of NODES.keys()) {
        now += STEP_MS;
        advance(stateOf(from), false);
        for (const to of NODES.keys()) if (to !== from) exchange(from, to, true);
      }
    }
    for (const state of states) {
      for (const other of states) {
        if (other === state) continue;
        const known = state.peers.get(other.self.name);
        assert.equal(known?.incarnation, other.self.incarnation);
        assert.equal(known.content.revision, other.self.content.revision);
      }
    }
  });
  fc.assert(property, { seed: SEED, numRuns: 300 });
});

Then('rounds never send more than the budget, whatever the number of entries', () => {
  const bytesPerSecond = 1_500;
  const property = fc.property(
    fc.integer({ min: 1, max: 500 }),
    fc.integer({ min: 1, max: 8 }),
    fc.integer({ min: 100, max: 2_000 }),
    (entries, fanOut, messageBytes) => {
      const random = createRandom(SEED);
      const targets = Array.from({ length: entries }, (_, index) => ({
        address: `10.0.0.${index}:1`,
        failureDomain: `domain-${index % 20}`,
      }));
      const seconds = 60;
      let budget = { left: 0, at: 0 };
      let sent = 0;
      for (let now = 0; now < seconds * 1_000; now += 250) {
        budget = refillBudget(budget, bytesPerSecond, now);
        const question = { failureDomain: 'domain-0', targets, fanOut };
        const limits = { bytesLeft: budget.left, bytesPerExchange: 500 };
        const bytes = planRound({ ...question, ...limits }, random).length * messageBytes;
        budget = { ...budget, left: budget.left - bytes };
        sent += bytes;
      }
      // A round may overdraw the budget by its own messages, and the next ones wait.
      assert(sent <= bytesPerSecond * seconds + fanOut * messageBytes);
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 100 });
});
