/**
 * Property tests of merging and of acceptance.
 */
import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { Peer } from '../../src/board/index.js';
import {
  createObjectState,
  exportChanges,
  evaluateAcceptance,
  mergeObjects,
  type ObjectState,
} from '../../src/controllers/configuration/index.js';
import type { Instance, StoredObject } from '../../src/objects/index.js';

const SEED = 1_102;
const RUNS = 400;

const change = fc.record({
  name: fc.constantFrom('a', 'b', 'c'),
  kind: fc.constantFrom('valid', 'invalid', 'deleted'),
});

/** Creates the history of one platform; versions count from 1 in the order of changes. */
function createHistory(changes: readonly { name: string; kind: string }[]): StoredObject[] {
  return changes.map(({ name, kind }, index) => ({
    kind: 'model',
    name,
    version: index + 1,
    nonce: `n${index}`,
    deleted: kind === 'deleted',
    value: kind === 'deleted' ? null : { replicas: kind === 'valid' ? index : -1 },
  }));
}

function mergeAll(objects: readonly StoredObject[], revision: number): ObjectState {
  return mergeObjects(createObjectState(), { since: 0, revision, objects });
}

function listValidVersions(state: ObjectState): Map<string, number> {
  return new Map([...state.records].map(([key, { valid }]) => [key, valid?.version ?? 0] as const));
}

Then('merging object versions in any order gives one state that never goes back', () => {
  const order = fc.array(fc.nat({ max: 29 }), { maxLength: 60 });
  const property = fc.property(
    fc.array(change, { minLength: 1, maxLength: 30 }),
    order,
    (changes, indices) => {
      const objects = createHistory(changes);
      const revision = objects.length;
      let state = createObjectState();
      const deliveries = indices.map((index) => objects[index % revision]);
      for (const object of [...deliveries, ...objects]) {
        if (object === undefined) continue;
        const before = listValidVersions(state);
        // Single objects, such as from an own write, leave a gap, so the revision must not advance.
        const offered = { since: revision, revision, objects: [object] };
        const next = mergeObjects(state, offered);
        assert.equal(next.revision, 0);
        assert.equal(mergeObjects(next, offered), next);
        const after = listValidVersions(next);
        for (const [key, version] of before) assert((after.get(key) ?? 0) >= version);
        state = next;
      }
      state = mergeObjects(state, { since: 0, revision, objects: [] });
      const inOrder = mergeAll(objects, revision);
      assert.deepEqual(listValidVersions(state), listValidVersions(inOrder));
      const old = mergeObjects(state, { since: 0, revision: revision - 1, objects });
      assert.equal(old, state);
    },
  );
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});

Then("all pages of a peer's changes together give its state", () => {
  const property = fc.property(
    fc.array(change, { maxLength: 30 }),
    fc.integer({ min: 1, max: 5 }),
    (changes, pageSize) => {
      const source = mergeAll(createHistory(changes), changes.length + 3);
      let state = createObjectState();
      let more = true;
      while (more) {
        const page = exportChanges(source, state.revision, pageSize);
        state = mergeObjects(state, page);
        ({ more } = page);
      }
      assert.equal(state.revision, source.revision);
      assert.deepEqual(listValidVersions(state), listValidVersions(source));
    },
  );
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});

const entryState = fc.record({
  revision: fc.nat({ max: 6 }),
  lag: fc.nat({ max: 3 }),
  isListed: fc.boolean(),
  isHeard: fc.boolean(),
});

function createPeer(name: string, configurationRevision: number): Peer {
  return {
    name,
    incarnation: name,
    address: '127.0.0.1:1',
    failureDomain: 'site',
    heardAt: 0,
    configurationRevision,
    ready: true,
    stopping: false,
    draining: [],
    sent: [],
    demands: [],
  };
}

Then('no change is called accepted while a live entry lacks it', () => {
  const property = fc.property(
    fc.array(entryState, { maxLength: 5 }),
    fc.nat({ max: 6 }),
    fc.nat({ max: 6 }),
    (states, ownRevision, revision) => {
      const instances = new Map<string, Instance>();
      const peers = new Map<string, Peer>();
      states.forEach(({ revision: actual, lag, isListed, isHeard }, index) => {
        const name = `entry-${index}`;
        const value = { role: 'entry', state: 'live', failureDomain: 'site' } as Instance;
        if (isListed) instances.set(name, value);
        if (isHeard) peers.set(name, createPeer(name, Math.max(0, actual - lag)));
      });
      const acceptance = evaluateAcceptance({
        revision,
        self: { name: 'self', failureDomain: 'site', revision: ownRevision },
        fleet: { revision: 0, instances, leaving: new Set() },
        peers,
        summaries: [],
        departed: new Set(),
      });
      const live = states.filter(({ isListed, isHeard }) => isListed || isHeard);
      const isLacking = ownRevision < revision || live.some((entry) => entry.revision < revision);
      if (isLacking) assert.equal(acceptance.kind, 'pending');
      const isKnownEverywhere = live.every(
        (entry) => entry.isHeard && entry.revision - entry.lag >= revision,
      );
      if (isKnownEverywhere && ownRevision >= revision) assert.equal(acceptance.kind, 'accepted');
    },
  );
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});
