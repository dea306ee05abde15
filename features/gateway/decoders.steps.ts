/**
 * Decoders of the platform adapter and of messages between gateways, given invalid input.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { Client } from 'undici';
import { platform } from '../../platform/index.js';
import { digestSchema } from '../../src/controllers/peering/index.js';
import {
  applyFleetChanges,
  createTargetDirectory,
  EMPTY_FLEET,
  resolveEntry,
  type ServingFleet,
} from '../../src/controllers/forwarding/index.js';
import { parseJson } from '../../src/core/json/index.js';
import {
  fleetUpdateSchema,
  serverIdSchema,
  versionsSchema,
} from '../../src/gateway/peers/messages.js';
import type { BackendServer, RateLimit, StoreChange, StoreObject } from '../../src/ports/index.js';
import { createServer, PROFILE } from './planning-model.js';
import { exampleConfiguration } from './stand-ins/configuration.js';

interface DecoderWorld {
  errors: unknown[];
  outcomes: boolean[];
  fleets: DamagedFleet[];
  fleet: ServingFleet;
  changes: readonly StoreChange[] | undefined;
  decoded: BackendServer[];
  page: ReturnType<typeof platform.store.decodePage>;
  rateLimit: RateLimit;
}

interface DamagedFleet {
  id: string;
  before: ServingFleet;
  after: ServingFleet;
}

type Json = Record<string, unknown>;

const HOME_DOMAIN = 'north';
const SEED = 5_309;
const ANSWER_REVISION = 900;

function entryOf(index: number): Json {
  return {
    service: 'models',
    address: `10.0.0.${index + 1}:8080`,
    zone: 'north',
    version: 'v1',
    slots: 12,
    state: 'ready',
    born: 1_700_000_000_000 + index,
    sequence: index,
    cold_remaining_ms: 0,
    domain: 'fabric',
    staged: ['small'],
    models: [{ name: 'small', version: 1, adapters: [] }],
    group: { name: `g-${index >> 1}`, epoch: index >> 1, rank: index % 2, state: 'open' },
  };
}

function objectOf(index: number): Json {
  return { metadata: { name: `i-${index}`, revision: index + 1 }, spec: entryOf(index) };
}

/** One body of each kind that a gateway reads. */
const BODIES: readonly unknown[] = [
  { items: [objectOf(0), objectOf(1)], has_more: false, as_of: ANSWER_REVISION },
  { events: [{ object: objectOf(0), deleted: true }], as_of: ANSWER_REVISION },
  objectOf(2),
  entryOf(3),
  exampleConfiguration(),
  { stage: 'dual', pace: 1.5, born: 1_700_000_000_000, sequence: 2 },
  {
    since: 1,
    revision: 2,
    absentInMs: 0,
    changes: [{ kind: 'present', server: createServer('i') }],
  },
];

const DECODERS: readonly ((body: string) => unknown)[] = [
  (body) => platform.store.decodePage(body),
  (body) => platform.store.decodeChanges(body),
  (body) => platform.store.decodeObject(body),
  (body) => [200, 201, 404, 409, 500].map((status) => platform.store.decodeWrite(status, body)),
  (body) => platform.orders.decodeReport(body),
  (body) => platform.decodeServer('i-1', parseJson(body)),
  (body) => platform.decodeServer(body, entryOf(1)),
  (body) => platform.decodeConfiguration(parseJson(body)),
  (body) => fleetUpdateSchema.safeParse(parseJson(body)),
  (body) => versionsSchema.safeParse(parseJson(body)),
  (body) => digestSchema.safeParse(parseJson(body)),
];

/** Replacement of a field; undefined removes it. */
const REPLACEMENT = fc.oneof(
  fc.constantFrom<unknown>(undefined, null, '', [], {}, -1, 1.5, 1e300, true, '__proto__'),
  fc.constantFrom<unknown>(
    'x'.repeat(100_000),
    Array.from({ length: 5_000 }, () => 0),
  ),
  fc.jsonValue(),
);

/** One field at any depth, selected by `at`, with its replacement. */
const DAMAGE = fc.record({ at: fc.nat(), value: REPLACEMENT });
type Damage = ReturnType<typeof DAMAGE.generate>['value'];

function listPaths(value: unknown, path: readonly string[] = []): (readonly string[])[] {
  if (typeof value !== 'object' || value === null) return [path];
  const inner = Object.entries(value).flatMap(([key, each]) => listPaths(each, [...path, key]));
  return [path, ...inner];
}

/** A copy of `value` with one part of it replaced. */
function damage(value: unknown, { at, value: replacement }: Damage): unknown {
  const paths = listPaths(value);
  const path = paths[at % paths.length] ?? [];
  return replaceAt(value, path, replacement);
}

function replaceAt(value: unknown, [key, ...rest]: readonly string[], by: unknown): unknown {
  if (key === undefined) return by;
  const inner: unknown = (value as Json)[key];
  const changed = replaceAt(inner, rest, by);
  if (Array.isArray(value))
    return value.map((each: unknown, at) => (String(at) === key ? changed : each));
  return { ...(value as Json), [key]: changed };
}

When(
  '{int} random texts and {int} damaged bodies are given to every decoder',
  function (this: DecoderWorld, texts: number, bodies: number) {
    const text = fc.oneof(fc.string({ unit: 'binary' }), fc.json());
    const damaged = fc.record({ body: fc.nat(), damage: DAMAGE, cut: fc.option(fc.nat()) });
    const inputs = [
      ...fc.sample(text, { numRuns: texts, seed: SEED }),
      ...fc.sample(damaged, { numRuns: bodies, seed: SEED }).map((each) => {
        const body = toText(damage(BODIES[each.body % BODIES.length], each.damage));
        return each.cut === null ? body : body.slice(0, each.cut % (body.length + 1));
      }),
    ];
    this.errors = inputs.flatMap((body) => DECODERS.flatMap((decode) => catchError(decode, body)));
  },
);

/** Encodes as JSON; a removed value becomes an empty string. */
function toText(value: unknown): string {
  return value === undefined ? '' : JSON.stringify(value);
}

function catchError(decode: (body: string) => unknown, body: string): unknown[] {
  try {
    decode(body);
    return [];
  } catch (error) {
    return [error];
  }
}

Then('none of them throws', function (this: DecoderWorld) {
  assert.deepEqual(this.errors, []);
});

const ITEM_COUNT = 6;
const DAMAGED_ITEM = fc.record({ index: fc.nat({ max: ITEM_COUNT - 1 }), damage: DAMAGE });

When(
  'one item of {int} random lists and watches is damaged',
  function (this: DecoderWorld, lists: number) {
    const objects = Array.from({ length: ITEM_COUNT }, (_, index) => objectOf(index));
    const events = objects.map((object) => ({ object, deleted: false }));
    const whole = readPage(objects);
    this.outcomes = fc.sample(DAMAGED_ITEM, { numRuns: lists, seed: SEED }).flatMap((sample) => {
      const name = `i-${sample.index}`;
      const page = readPage(damageItem(objects, sample));
      const changes = readChanges(damageItem(events, sample));
      return [page, changes].map((read) => isUnchangedExcept(name, whole, read));
    });
  },
);

function damageItem(
  items: readonly unknown[],
  { index, damage: itemDamage }: { index: number; damage: Damage },
): unknown[] {
  return items.map((item, at) => (at === index ? damage(item, itemDamage) : item));
}

function readPage(items: readonly unknown[]): readonly StoreObject[] | undefined {
  const body = JSON.stringify({ items, has_more: false, as_of: ANSWER_REVISION });
  return platform.store.decodePage(body)?.objects;
}

function readChanges(events: readonly unknown[]): readonly StoreObject[] | undefined {
  const body = JSON.stringify({ events, as_of: ANSWER_REVISION });
  return platform.store.decodeChanges(body)?.changes.map(({ object }) => object);
}

/** Whether all known objects except the one called `name` are unchanged. */
function isUnchangedExcept(
  name: string,
  before: readonly StoreObject[] | undefined,
  after: readonly StoreObject[] | undefined,
): boolean {
  const others = before?.filter((object) => object.name !== name) ?? [];
  const found = new Map(after?.map((object) => [object.name, JSON.stringify(object)]));
  const isKept = others.every((object) => found.get(object.name) === JSON.stringify(object));
  return isKept && (after?.every(({ revision }) => revision <= ANSWER_REVISION) ?? false);
}

Then(
  'all other items are read as they were, and no revision is above that of the answer',
  function (this: DecoderWorld) {
    assert.equal(this.outcomes.filter((isKept) => !isKept).length, 0);
  },
);

When('one entry of {int} random fleets is damaged', function (this: DecoderWorld, fleets: number) {
  const before = ITEM_INDEXES.reduce(
    (fleet, index) => applyEntry(fleet, `i-${index}`, entryOf(index)),
    EMPTY_FLEET,
  );
  assert.equal(before.servers.size, ITEM_COUNT);
  this.fleets = fc.sample(DAMAGED_ITEM, { numRuns: fleets, seed: SEED }).map((sample) => {
    const id = `i-${sample.index}`;
    const entry = toText(damage(entryOf(sample.index), sample.damage));
    return { id, before, after: applyEntry(before, id, parseJson(entry)) };
  });
});

const ITEM_INDEXES = Array.from({ length: ITEM_COUNT }, (_, index) => index);

/** Applies the entry `id` to `fleet` as a gateway does. */
function applyEntry(fleet: ServingFleet, id: string, entry: unknown): ServingFleet {
  const server = resolveEntry(fleet.servers.get(id), platform.decodeServer(id, entry));
  const changes = server ? [{ kind: 'present' as const, server }] : [];
  return applyFleetChanges(fleet, changes, fleet.revision + 1, 0, 0);
}

Then('all other servers are known as they were', function (this: DecoderWorld) {
  for (const { id, before, after } of this.fleets) {
    assert.equal(after.servers.size, before.servers.size);
    for (const [other, server] of before.servers) {
      if (other !== id) assert.equal(after.servers.get(other), server);
    }
  }
});

Then(
  'the server of the entry can be used only if its entry is valid',
  function (this: DecoderWorld) {
    const used = this.fleets.flatMap(({ id, after }) => after.servers.get(id) ?? []);
    assert.ok(used.some(({ leaving }) => leaving));
    for (const server of used) assert.ok(server.leaving || isValid(server), JSON.stringify(server));
  },
);

function isValid({ address, slots, startedAt, service }: BackendServer): boolean {
  const port = Number(address.split(':')[1]);
  const isAddress = Number.isInteger(port) && port > 0 && port < 65_536;
  const hasStart = startedAt !== undefined && Number.isInteger(startedAt);
  return (
    isAddress && hasStart && Number.isInteger(slots) && slots > 0 && typeof service === 'string'
  );
}

const LONG_TEXT = 'x'.repeat(1_000_000);
/** Values that are of the type of some field. */
const LIMIT_VALUE = fc.constantFrom<unknown>(
  Number.MAX_SAFE_INTEGER,
  Number.MAX_VALUE,
  -0,
  '\ud800',
  '__proto__',
  LONG_TEXT,
  [LONG_TEXT],
  Array.from({ length: 100_000 }, () => 'small'),
  '256.1.1.1:8080',
  '1.2.3.4.5:8080',
  'xn--a:8080',
  '0x100000000:8080',
  `${LONG_TEXT}:8080`,
  'a..b:8080',
  '127.0.0.1:0',
);
const LIMIT_ENTRY = fc.record({ at: fc.nat(), value: LIMIT_VALUE });
/** Many entries may change at once, in one message. */
const MAX_ENTRY_CHARACTERS = 150_000;

When(
  'one entry of {int} fleets has a value at the limit of its type',
  function (this: DecoderWorld, fleets: number) {
    this.decoded = fc
      .sample(LIMIT_ENTRY, { numRuns: fleets, seed: SEED })
      .flatMap((sample) => platform.decodeServer('i-0', damage(entryOf(0), sample)) ?? []);
    const ids = ['i'.repeat(257), 'i'.repeat(256)];
    this.decoded.push(...ids.flatMap((id) => platform.decodeServer(id, entryOf(0)) ?? []));
    assert.ok(this.decoded.length > 0 && this.decoded.length < fleets);
  },
);

Then(
  'each decoded one can be called, planned, relayed and named in a path',
  async function (this: DecoderWorld) {
    for (const server of this.decoded) {
      const { id, address, service, engine } = server;
      await new Client(`http://${address}`).close();
      assert.ok(encodeURIComponent(`${service}.${engine?.fabricDomain ?? ''}`));
      assert.ok(serverIdSchema.safeParse({ server: id }).success, id.slice(0, 300));
      const update = {
        since: 1,
        revision: 2,
        absentInMs: 0,
        changes: [{ kind: 'present', server }],
      };
      const message = JSON.stringify(update);
      assert.ok(message.length <= MAX_ENTRY_CHARACTERS, `${message.length}`);
      assert.ok(fleetUpdateSchema.safeParse(JSON.parse(message)).success, message);
    }
  },
);

When('a list ends with an object whose name is half a character', function (this: DecoderWorld) {
  const odd = { metadata: { name: '\ud800', revision: 3 }, spec: entryOf(1) };
  const items = [objectOf(0), odd];
  const body = JSON.stringify({ items, has_more: true, as_of: ANSWER_REVISION });
  this.page = platform.store.decodePage(body);
});

Then(
  'the call for the rest of the list goes on after the object before it',
  function (this: DecoderWorld) {
    const last = this.page?.objects.at(-1)?.name;
    assert.equal(platform.store.list('servers', last).path, '/objects/servers?after=i-0');
    assert.equal(this.page?.dropped, 1);
  },
);

Given(
  'a fleet with one open replica of {int} engines',
  function (this: DecoderWorld, size: number) {
    this.fleet = ITEM_INDEXES.slice(0, size).reduce(
      (fleet, index) => applyEntry(fleet, `i-${index}`, entryOf(index)),
      EMPTY_FLEET,
    );
  },
);

When('an entry of each of its engines is copied under another name', function (this: DecoderWorld) {
  for (const index of [...this.fleet.servers.keys()].keys()) {
    this.fleet = applyEntry(this.fleet, `copy-${index}`, entryOf(index));
  }
});

Then("requests may still be sent to the replica's own head", function (this: DecoderWorld) {
  const service = { name: 'models', maxConnections: 10, engine: PROFILE };
  const targets = createTargetDirectory(this.fleet, HOME_DOMAIN).find(service, 'small');
  assert.ok(
    targets.near.some(({ server }) => server.id === 'i-0'),
    'its head is not a target',
  );
});

When(
  'a watch up to revision {int} brings an object of revision {int} without a value',
  function (this: DecoderWorld, newest: number, revision: number) {
    const object = { metadata: { name: 'i-0', revision } };
    const body = JSON.stringify({ events: [{ object }], as_of: newest });
    this.changes = platform.store.decodeChanges(body)?.changes;
  },
);

Then(
  'it is read without a value and with revision {int}',
  function (this: DecoderWorld, revision: number) {
    const object = { name: 'i-0', revision, value: undefined };
    assert.deepEqual(this.changes, [{ object, deleted: false }]);
  },
);

When('its second engine claims the rank {int}', function (this: DecoderWorld, rank: number) {
  const entry = entryOf(1);
  this.fleet = applyEntry(this.fleet, 'i-1', {
    ...entry,
    group: { ...(entry.group as object), rank },
  });
});

Then('no request may be sent to the replica', function (this: DecoderWorld) {
  const service = { name: 'models', maxConnections: 10, engine: PROFILE };
  assert.deepEqual(createTargetDirectory(this.fleet, HOME_DOMAIN).find(service, 'small'), {
    near: [],
    far: [],
  });
});

When('an answer carries the limits {string}', function (this: DecoderWorld, headers: string) {
  const rawHeaders = headers.split(';').flatMap((value) => ['Server-Limit', value]);
  this.rateLimit = platform.requests.decodeResponse(200, rawHeaders).rateLimit;
});

Then('it is read as {float} a second', function (this: DecoderWorld, perSecond: number) {
  assert.deepEqual(this.rateLimit, { kind: 'named', perSecond });
});

Then('it is read as unreadable', function (this: DecoderWorld) {
  assert.deepEqual(this.rateLimit, { kind: 'unreadable' });
});
