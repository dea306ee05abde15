/**
 * Properties of the digest exchange, with simulated time and an unreliable network.
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
  const options = {
    target: to,
    relayed: [...from.peers.values()],
    summaries: [],
    heartbeatGapMs: STEP_MS,
    budgetBytes: 3_000,
  };
  return composeMessage(from, options, now);
}

/** The expected revision for every incarnation and change of an entry. */
type RevisionHistory = Map<string, number>;

function checkPeers(state: GossipState, revisions: RevisionHistory): void {
  for (const { incarnation, change, content } of state.peers.values()) {
    assert.equal(content.revision, revisions.get(`${incarnation}/${change}`));
  }
}

const step = fc.record({
  from: fc.nat({ max: 3 }),
  to: fc.nat({ max: 3 }),
  outcome: fc.constantFrom('delivered', 'lost', 'answerLost', 'duplicated', 'delayed', 'restarted'),
  isNew: fc.boolean(),
});

Then('digests under any delivery are never taken for newer than they are, and all converge', () => {
  const property = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    let now = 0;
    const revisions: RevisionHistory = new Map();
    const delayed: { to: number; message: DigestMessage }[] = [];
    const starts = [0, 0, 0, 0];
    const create = (index: number): GossipState => {
      const name = NODES[index] ?? '';
      const incarnation = `${name}${starts[index] ?? 0}`;
      revisions.set(`${incarnation}/1`, 0);
      return createGossipState(name, incarnation, createContent(0), now);
    };
    const states = NODES.map((_, index) => create(index));
    const stateOf = (index: number): GossipState => states[index] ?? create(index);
    const advance = (state: GossipState, isNew: boolean): void => {
      const { revision } = state.self.content;
      advanceSelf(state, createContent(isNew ? revision + 1 : revision), now);
      const { incarnation, change, content } = state.self;
      revisions.set(`${incarnation}/${change}`, content.revision);
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
    const perform = ({ from, to, outcome, isNew }: (typeof steps)[number]): void => {
      if (from === to) return;
      advance(stateOf(from), isNew);
      const message = compose(stateOf(from), NODES[to] ?? '', now);
      switch (outcome) {
        case 'lost':
          return;
        case 'delayed':
          delayed.push({ to, message });
          return;
        case 'restarted':
          starts[from] = (starts[from] ?? 0) + 1;
          states[from] = create(from);
          return;
        case 'duplicated':
          receiveMessage(stateOf(to), message, now);
          receiveMessage(stateOf(to), message, now);
          return;
        case 'delivered':
        case 'answerLost':
          exchange(from, to, outcome === 'delivered');
      }
    };
    for (const [index, current] of steps.entries()) {
      now += STEP_MS;
      perform(current);
      if (index % 5 === 4)
        for (const { to, message } of delayed.splice(0)) {
          receiveMessage(stateOf(to), message, now);
        }
      for (const state of states) checkPeers(state, revisions);
    }
    // Two rounds without faults, in which every entry exchanges digests with every other.
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
        const options = { failureDomain: 'domain-0', targets, fanOut };
        const limits = { bytesLeft: budget.left, bytesPerExchange: 500 };
        const bytes = planRound({ ...options, ...limits }, random).length * messageBytes;
        budget = { ...budget, left: budget.left - bytes };
        sent += bytes;
      }
      // A single round may overdraw the budget; the following ones wait until it is refilled.
      assert(sent <= bytesPerSecond * seconds + fanOut * messageBytes);
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 100 });
});
