/**
 * The client of the platform and its watch loop, given objects that another writer has left.
 */
import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { codec } from '../../src/adapters/peers/codec.js';
import { changePageSchema } from '../../src/adapters/peers/router.js';
import {
  createPlatformClient,
  createWatchLoop,
  type ObjectList,
  type PlatformClient,
  type WatchLoop,
} from '../../src/adapters/platform/index.js';
import {
  createObjectState,
  exportChanges,
  mergeObjects,
} from '../../src/controllers/configuration/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { instanceSchema } from '../../src/objects/index.js';
import { waitFor } from '../support/waiting.js';

interface OddObjectsWorld {
  oddPlatform?: Server;
  client: PlatformClient;
  lists: ObjectList[];
  oddLoop?: WatchLoop;
  processed: number;
}

const LEVELS = 100_000;
const NESTED = '['.repeat(LEVELS) + ']'.repeat(LEVELS);
const REVISION = 20;
const MODEL = { kind: 'model', name: 'sound', version: 9, nonce: 'n', deleted: false };
const OTHER = { ...MODEL, name: 'odd', value: {} };

/** Objects as JSON. The last two have a valid form, and values that no model has. */
const ODD_OBJECTS: readonly string[] = [
  'null',
  '7',
  '[]',
  NESTED,
  JSON.stringify({ ...OTHER, kind: 'unknown' }),
  JSON.stringify({ ...OTHER, name: 'Not A Name' }),
  JSON.stringify({ ...OTHER, name: '__proto__' }),
  JSON.stringify({ ...OTHER, name: '\ud800' }),
  JSON.stringify({ ...OTHER, version: -1 }),
  JSON.stringify({ ...OTHER, version: 'raw' }).replace('"raw"', '1e400'),
  JSON.stringify({ ...OTHER, version: 'raw' }).replace('"raw"', '9007199254740993'),
  JSON.stringify({ ...OTHER, nonce: undefined }),
  JSON.stringify({ ...OTHER, version: 10, name: 'odd-1', value: 'raw' }).replace('"raw"', NESTED),
  JSON.stringify({ ...OTHER, version: 11, name: 'odd-2', value: { replicas: 1e308 } }),
];
const VALID_FORMS = 2;

After(async function (this: Partial<OddObjectsWorld>) {
  if (this.oddPlatform === undefined) return;
  await this.oddLoop?.stop();
  await this.client?.close();
  this.oddPlatform.close();
  this.oddPlatform.closeAllConnections();
});

Given(
  'a platform whose answers have odd objects of every form beside a model',
  async function (this: OddObjectsWorld) {
    const model = JSON.stringify({ ...MODEL, value: { replicas: 1 } });
    const body = `{"objects":[${[...ODD_OBJECTS, model].join()}],"revision":${REVISION}}`;
    const server = createServer((_request, response) => response.end(body));
    this.oddPlatform = server;
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    this.client = createPlatformClient({
      address,
      timeoutMs: 2_000,
      random: createRandom(1),
      logger: silentLogger,
    });
  },
);

When('it is listed and watched', async function (this: OddObjectsWorld) {
  const answers = [await this.client.list('model'), await this.client.watch(['model'], 0, 0)];
  this.lists = answers.map((answer) => answer._unsafeUnwrap());
});

Then(
  'the model is read both times, and no odd object but those of a valid form',
  function (this: OddObjectsWorld) {
    for (const { objects } of this.lists) {
      assert.ok(objects.some(({ name }) => name === MODEL.name));
      assert.equal(objects.length, 1 + VALID_FORMS);
    }
  },
);

Then(
  'what is read can be sent to another entry, and the model is in force there',
  function (this: OddObjectsWorld) {
    const [list] = this.lists;
    assert.ok(list);
    const state = mergeObjects(createObjectState(), { since: 0, ...list });
    const message = codec.output.serialize(exportChanges(state, 0));
    const page = changePageSchema.parse(codec.output.deserialize(message));
    const received = mergeObjects(createObjectState(), page);
    const valid = [...received.records.values()].flatMap((record) => record.valid?.name ?? []);
    assert.deepEqual(valid, [MODEL.name]);
  },
);

Then(
  /^an instance with the address "([^"]*)" is (valid|rejected)$/,
  function (address: string, kind: string) {
    const instance = { role: 'engine', address, failureDomain: 'north' };
    assert.equal(instanceSchema.safeParse(instance).success, kind === 'valid');
  },
);

When('it is watched by a loop whose processing throws once', function (this: OddObjectsWorld) {
  let calls = 0;
  this.processed = 0;
  this.oddLoop = createWatchLoop({
    platform: this.client,
    kinds: ['model'],
    waitMs: 100,
    random: createRandom(1),
    logger: silentLogger,
    onList: () => {
      calls += 1;
      if (calls === 1) throw new Error('unexpected object');
      this.processed += 1;
    },
  });
  this.oddLoop.start();
});

Then(
  'the loop has processed a list within {int} ms',
  async function (this: OddObjectsWorld, ms: number) {
    await waitFor('a list', () => this.processed > 0, ms);
  },
);
