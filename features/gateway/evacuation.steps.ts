/**
 * Decisions on evacuations, without a network.
 */
import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  applyEvacuationChanges,
  applyEvacuationState,
  evacuationStateSchema,
  isEvacuated,
  isStartupWaitOver,
  returnShare,
  toEvacuationState,
  UNKNOWN_EVACUATIONS,
  type EvacuationChange,
  type Evacuations,
  type EvacuationState,
} from '../../src/controllers/evacuation/index.js';
import {
  createTargetDirectory,
  EMPTY_FLEET,
  type ServingFleet,
} from '../../src/controllers/forwarding/index.js';
import { measureServiceLoad, type ServiceDomain } from '../../src/gateway/groups/domain-states.js';
import type { BackendServer } from '../../src/ports/index.js';
import { EvacuationModel } from './evacuation-model.js';
import { createServer, PROFILE } from './planning-model.js';

interface EvacuationWorld {
  model: EvacuationModel;
  evacuatedAt: number;
  fleet: ServingFleet;
  evacuations: Evacuations | undefined;
  domains: ServiceDomain[];
}

const SEED = 7_118;
const RUNS = 300;
const EVACUATE_MS = 5_000;
const SERVICE = { name: 'app', maxConnections: 10 };
/** Time for a simulated fleet to settle, so that each gateway relies on its hub. */
const SETTLE_MS = 9_000;
/** Times after the settling at which the failure occurs: over more than one interval between polls. */
const OFFSETS_MS = [0, 700, 1_400, 2_100, 2_800];
const REVISIONS_PER_ERA = 1_000;

function parseNames(text: string): string[] {
  return text.split(',').filter(Boolean);
}

function stateOf(revision: number, domains: readonly string[]): EvacuationState {
  return { revision, domains: [...domains].sort() };
}

// --- histories ---

/** The store through its writes and restores; `states` holds each state by its qualified revision. */
class StoreHistory {
  readonly states = new Map<number, string[]>();
  readonly changes: EvacuationChange[] = [];
  private era = 0;
  private revision = 1;
  private domains = new Set<string>();

  constructor() {
    this.record();
  }

  get current(): EvacuationState {
    return stateOf(this.qualified, [...this.domains]);
  }

  get qualified(): number {
    return this.era * REVISIONS_PER_ERA + this.revision;
  }

  toggle(domain: string): void {
    this.revision += 1;
    const ended = this.domains.delete(domain);
    if (!ended) this.domains.add(domain);
    this.changes.push({ domain, revision: this.qualified, ended });
    this.record();
  }

  /** Returns from the copy at an earlier revision of this era. */
  restore(stepsBack: number): void {
    const revisions = [...this.states.keys()].filter(
      (revision) => Math.floor(revision / REVISIONS_PER_ERA) === this.era,
    );
    const revision = revisions[Math.max(0, revisions.length - 1 - stepsBack)] ?? this.qualified;
    this.domains = new Set(this.states.get(revision));
    this.revision = revision % REVISIONS_PER_ERA;
    this.era += 1;
    this.record();
  }

  private record(): void {
    this.states.set(this.qualified, [...this.domains].sort());
  }
}

const stepArbitrary = fc.oneof(
  fc.record({ kind: fc.constant('toggle' as const), domain: fc.constantFrom('a', 'b', 'c') }),
  fc.record({ kind: fc.constant('restore' as const), back: fc.nat(3) }),
  fc.record({ kind: fc.constant('list' as const) }),
  fc.record({ kind: fc.constant('watch' as const), most: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ kind: fc.constant('peer' as const), pick: fc.nat(100) }),
);

Then('over random histories what is known is always the state of its revision', () => {
  const property = fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (steps) => {
    const store = new StoreHistory();
    let known = UNKNOWN_EVACUATIONS;
    /** Where the own watch stands; undefined before the first list and after a restore. */
    let watched: number | undefined;
    for (const [now, step] of steps.entries()) {
      const before = known;
      switch (step.kind) {
        case 'toggle':
          store.toggle(step.domain);
          break;
        case 'restore':
          store.restore(step.back);
          watched = undefined;
          break;
        case 'list':
          known = applyEvacuationState(known, store.current, now);
          watched = store.qualified;
          break;
        case 'watch': {
          if (watched === undefined) break;
          const since = watched;
          const news = store.changes.filter(
            ({ revision }) => revision > since && revision <= store.qualified,
          );
          const batch = news.slice(0, step.most);
          known = applyEvacuationState(known, applyEvacuationChanges(known, batch), now);
          watched = batch.at(-1)?.revision ?? watched;
          break;
        }
        case 'peer': {
          const all = [...store.states];
          const [revision, domains] = all[step.pick % all.length] ?? [0, []];
          known = applyEvacuationState(known, stateOf(revision, domains), now);
          break;
        }
      }
      assert.ok(known.revision >= before.revision);
      if (known.source === 'known')
        assert.deepEqual([...known.domains].sort(), store.states.get(known.revision));
    }
    known = applyEvacuationState(known, store.current, steps.length);
    assert.deepEqual([...known.domains].sort(), store.current.domains);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});

When(
  'one answer of a watch up to revision {int} tells of {string} without a revision and of its removal at {int}',
  function (this: EvacuationWorld, newest: number, domain: string, removedAt: number) {
    const changes: EvacuationChange[] = [
      { domain, revision: newest, ended: false },
      { domain, revision: removedAt, ended: true },
    ];
    const known = applyEvacuationState(UNKNOWN_EVACUATIONS, stateOf(1, []), 0);
    this.evacuations = applyEvacuationState(known, applyEvacuationChanges(known, changes), 0);
  },
);

Then('nothing is evacuated', function (this: EvacuationWorld) {
  assert.deepEqual([...(this.evacuations?.domains ?? ['unknown'])], []);
});

When(
  'the store holds evacuations of {string} and of a name of {int} characters',
  function (this: EvacuationWorld, name: string, length: number) {
    const state = stateOf(1, [name, 'x'.repeat(length)]);
    this.evacuations = applyEvacuationState(UNKNOWN_EVACUATIONS, state, 0);
  },
);

When('the store holds {int} evacuations', function (this: EvacuationWorld, count: number) {
  const names = Array.from({ length: count }, (_, index) => `domain-${index}`);
  this.evacuations = applyEvacuationState(UNKNOWN_EVACUATIONS, stateOf(1, names), 0);
});

Then(
  'only {string} is evacuated, and gateways tell each other',
  function (this: EvacuationWorld, name: string) {
    assert.ok(this.evacuations);
    const state = toEvacuationState(this.evacuations);
    assert.deepEqual(evacuationStateSchema.parse(state), stateOf(1, [name]));
  },
);

Then('all of them count, and gateways do not tell each other', function (this: EvacuationWorld) {
  assert.ok(this.evacuations);
  assert.ok(isEvacuated(this.evacuations, 'domain-1000'));
  assert.equal(toEvacuationState(this.evacuations), undefined);
});

// --- a fleet ---

Given(
  '102 gateways that follow evacuations of a store that answers after {int} ms',
  function (this: EvacuationWorld, delayMs: number) {
    this.model = new EvacuationModel(3, 34, EVACUATE_MS, delayMs);
    this.model.run(SETTLE_MS);
    assert.deepEqual(this.model.listUnaware(), []);
  },
);

function fail(model: EvacuationModel, failure: string): void {
  const { gateways, alive } = model.peering;
  const hubs = alive.filter(({ table }) => table.isHub());
  const [first] = hubs;
  assert.ok(first);
  switch (failure) {
    case 'nothing fails':
      break;
    case 'the hub of its domain is frozen':
      model.freeze(first);
      break;
    case 'the hub of its domain is cut off':
      for (const { name } of gateways) first.unreachable.add(name);
      break;
    case 'all hubs are frozen':
      for (const hub of hubs) model.freeze(hub);
      break;
    case 'no notice of a hub arrives':
      model.sendsNotices = false;
      break;
    default:
      assert.fail(failure);
  }
}

When(/^(.+) and a failure domain is evacuated$/, function (this: EvacuationWorld, failure: string) {
  const { model } = this;
  fail(model, failure);
  this.evacuatedAt = model.now;
  model.write(['domain-0']);
});

Then(
  'within {int} ms each gateway that reaches the store knows of it',
  function (this: EvacuationWorld, ms: number) {
    const { model } = this;
    // The rest of the first change, and four more at other moments between two polls.
    model.run(ms);
    assert.deepEqual(model.listUnaware(), []);
    for (const [index, offsetMs] of OFFSETS_MS.entries()) {
      model.run(offsetMs);
      model.write(index % 2 === 0 ? [] : ['domain-1']);
      model.run(ms);
      assert.deepEqual(model.listUnaware(), [], `after ${offsetMs} ms`);
    }
  },
);

Then(
  'in {int} ms at rest they call the store at most {int} times',
  function (this: EvacuationWorld, ms: number, most: number) {
    this.model.storeCalls = 0;
    this.model.run(ms);
    assert.ok(this.model.storeCalls <= most, `${this.model.storeCalls} calls`);
  },
);

// --- targets ---

Given('a plain service with servers in {string}', function (this: EvacuationWorld, names: string) {
  const servers = parseNames(names).map((failureDomain): [string, BackendServer] => {
    const id = `server-${failureDomain}`;
    const plain = { id, address: '127.0.0.1:1', slots: 6, leaving: false };
    return [id, { ...plain, service: SERVICE.name, failureDomain }];
  });
  this.fleet = { ...EMPTY_FLEET, revision: 1, servers: new Map(servers) };
});

When('{string} is evacuated', function (this: EvacuationWorld, names: string) {
  const state = stateOf((this.evacuations?.revision ?? 0) + 1, parseNames(names));
  this.evacuations = applyEvacuationState(this.evacuations ?? UNKNOWN_EVACUATIONS, state, 0);
});

When('evacuations are not known', function (this: EvacuationWorld) {
  this.evacuations = UNKNOWN_EVACUATIONS;
});

When('evacuations are not followed', function (this: EvacuationWorld) {
  this.evacuations = undefined;
});

function assertTargets(world: EvacuationWorld, names: string, isEvacuated: boolean): void {
  const directory = createTargetDirectory(world.fleet, 'north', world.evacuations);
  const { near, far } = directory.find(SERVICE, undefined);
  const found = [...near, ...far].map(({ server }) => server.failureDomain);
  assert.deepEqual(found.sort(), parseNames(names));
  assert.equal(directory.isEvacuated(SERVICE), isEvacuated);
}

Then(
  'its targets are in {string} and it is not evacuated as a whole',
  function (this: EvacuationWorld, names: string) {
    assertTargets(this, names, false);
  },
);

Then('it has no targets and is evacuated as a whole', function (this: EvacuationWorld) {
  assertTargets(this, '', true);
});

Then('it has no targets and is not evacuated as a whole', function (this: EvacuationWorld) {
  assertTargets(this, '', false);
});

// --- start and return ---

Then(
  'a gateway that could serve otherwise waits {int} ms for them and not longer',
  (waitMs: number) => {
    assert.ok(!isStartupWaitOver(100, EVACUATE_MS, 100 + waitMs - 1));
    assert.ok(isStartupWaitOver(100, EVACUATE_MS, 100 + waitMs));
  },
);

Then('a gateway that could not serve otherwise waits on', () => {
  assert.ok(!isStartupWaitOver(undefined, EVACUATE_MS, 1_000_000));
});

Given(
  /^(?:only )?"(.+)" (?:is|are) evacuated at (\d+) ms$/,
  function (this: EvacuationWorld, names: string, at: string) {
    const known = this.evacuations ?? UNKNOWN_EVACUATIONS;
    const state = stateOf(known.revision + 1, parseNames(names));
    this.evacuations = applyEvacuationState(known, state, Number(at));
  },
);

Then(
  'a server in {string} gets these shares of its load:',
  function (this: EvacuationWorld, domain: string, table: DataTable) {
    for (const { at, share } of table.hashes() as { at: string; share: string }[]) {
      const actual = returnShare(this.evacuations ?? UNKNOWN_EVACUATIONS, domain, Number(at));
      assert.ok(Math.abs(actual - Number(share)) < 1e-9, `${actual} at ${at}`);
    }
  },
);

Then(
  'a server in {string} gets all of its load at {int} ms',
  function (this: EvacuationWorld, domain: string, at: number) {
    assert.equal(returnShare(this.evacuations ?? UNKNOWN_EVACUATIONS, domain, at), 1);
  },
);

// --- planning ---

Given(
  '{int} failure domains with {int} replicas of {int} requests each',
  function (this: EvacuationWorld, domains: number, replicas: number, requests: number) {
    assert.equal(requests, REQUESTS_PER_REPLICA);
    this.domains = Array.from({ length: domains }, (_, index): ServiceDomain => {
      const domain = `fabric-${index}`;
      const servers = Array.from({ length: replicas }, (__, replica) => {
        const membership = { group: `${domain}.${replica}`, epoch: 1, rank: 0, state: 'open' };
        return createServer(`${domain}-${replica}`, {
          fabricDomain: domain,
          staged: ['small'],
          model: 'small',
          lastModel: 'small',
          membership: { ...membership, state: 'open' as const },
        });
      });
      const failureDomain = `domain-${index}`;
      const key = `models ${domain}`;
      return { key, service: 'models', domain, failureDomain, profile: PROFILE, servers };
    });
  },
);

const REQUESTS_PER_REPLICA = 4;

Then(
  'the load of the service is {int} requests at {int} replicas',
  function (this: EvacuationWorld, requests: number, replicas: number) {
    const load = measureServiceLoad(
      this.domains,
      PROFILE,
      () => REQUESTS_PER_REPLICA,
      this.evacuations,
    );
    const small = load.models.find(({ model }) => model.name === 'small');
    assert.equal(small?.inFlight, requests);
    assert.equal(small.groups, replicas);
    assert.equal(load.instances, replicas);
  },
);
