/**
 * Steps for the integration of routing and limits in an entry.
 */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createBoard, type BoardWriters, type Peer } from '../../src/board/index.js';
import { createSystemClock } from '../../src/core/clock/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { entrySettingsSchema } from '../../src/core/settings/index.js';
import { createLimits, type Limits } from '../../src/entry/limits/index.js';
import { createDispatcher, type DispatchOutcome } from '../../src/entry/requests/dispatcher.js';
import type { EntryContext } from '../../src/entry/types.js';
import { policySchema, workspaceSchema } from '../../src/objects/index.js';
import { call } from '../requests/client.js';
import { EntryFixture, KEY, MODEL } from '../requests/fixture.js';
import { ENTRY_LOCATION, makeCandidate, makeRequest } from './fixtures.js';

interface WiringWorld {
  entry?: EntryFixture;
  limitsComponent?: Limits;
  board: BoardWriters;
  dispatcher: ReturnType<typeof createDispatcher>;
  grants: { workspace: string; grant: DispatchOutcome }[];
}

const UNUSED_ADDRESS = '127.0.0.1:0';
const MAX_TOKENS = 40;
/** Slow enough for a whole burst to arrive before the first answers are complete. */
const SLOW_FACTOR = 10;
const SHARE = { requestsPerSecond: 1e6, tokensPerSecond: 1e9, concurrentRequests: 1e6 };
const INTERACTIVE_PRIORITY = policySchema.parse({}).classes.interactive.priority;

Given(
  'an entry that routes for workspaces {string} and {string}',
  async function (this: WiringWorld, _first: string, second: string) {
    this.entry = new EntryFixture();
    await this.entry.start();
    for (const engine of this.entry.engines) engine.control({ slowFactor: SLOW_FACTOR });
    addWorkspace(this.entry.board, second);
  },
);

function addWorkspace(board: BoardWriters, name: string): void {
  const value = workspaceSchema.parse({
    keyHashes: [createHash('sha256').update(apiKeyOf(name)).digest('hex')],
    classes: ['interactive'],
    selector: [],
  });
  const configuration = board.configuration.read();
  const workspaces = new Map([...configuration.workspaces, [name, { version: 1, value }]]);
  board.configuration.write({ ...configuration, workspaces });
  board.limits.write(new Map([...board.limits.read(), [name, SHARE]]));
}

function apiKeyOf(workspace: string): string {
  return workspace === 'market' ? KEY : `${workspace}-key`;
}

When(
  '{string} asks {int} question and then {string} asks {int} at once',
  async function (this: WiringWorld, first: string, few: number, second: string, many: number) {
    const { entry } = this;
    assert.ok(entry);
    await Promise.all(Array.from({ length: few }, () => sendCompletion(entry, first)));
    await Promise.all(Array.from({ length: many }, () => sendCompletion(entry, second)));
  },
);

async function sendCompletion(entry: EntryFixture, workspace: string): Promise<void> {
  const body = JSON.stringify({
    model: MODEL,
    messages: [{ role: 'user', content: `a question of ${workspace}` }],
    max_tokens: MAX_TOKENS,
  });
  const headers = { authorization: `Bearer ${apiKeyOf(workspace)}`, 'x-class': 'interactive' };
  const received = await call(entry.address, '/v1/chat/completions', {
    method: 'POST',
    body,
    headers,
  });
  assert.equal(received.status, 200, received.body);
}

Then(
  'the engines saw the first question at the priority of its class',
  function (this: WiringWorld) {
    // The first attempt is that of the first workspace.
    assert.equal(listPriorities(this)[0], INTERACTIVE_PRIORITY);
  },
);

Then(
  'the engines saw the others at the priority of their class and at a lower one',
  function (this: WiringWorld) {
    const seen = new Set(listPriorities(this).slice(1));
    assert.deepEqual([...seen].sort(), [INTERACTIVE_PRIORITY - 2, INTERACTIVE_PRIORITY]);
  },
);

function listPriorities({ entry }: WiringWorld): number[] {
  const attempts = entry?.listAttempts() ?? [];
  return attempts
    .toSorted((one, other) => one.startedAt - other.startedAt)
    .map(({ priority }) => priority);
}

Given(
  'a dispatcher of an entry with {int} live peers before {int} replicas',
  function (this: WiringWorld, peers: number, replicas: number) {
    const context = createContext();
    this.board = context.writers;
    this.grants = [];
    const names = Array.from({ length: peers }, (_, index) => `peer-${index}`);
    this.board.peers.write(new Map(names.map((name) => [name, makePeer(name)])));
    const now = context.clock.now();
    const candidates = Array.from({ length: replicas }, (_, index) =>
      makeCandidate(`replica-${index}`, now, { batchSize: 16 }),
    );
    this.dispatcher = createDispatcher(context, {
      list: () => candidates,
      index: () => ({ byModel: new Map(), validUntil: Number.POSITIVE_INFINITY }),
    });
  },
);

When(
  '{int} request of one workspace and {int} of another are offered to it',
  async function (this: WiringWorld, few: number, many: number) {
    const arrivedAt = createSystemClock().now();
    const offer = (workspace: string, index: number): void => {
      const request = makeRequest(`${workspace}-${index}`, arrivedAt, {
        workspace,
        deadlineAt: Number.MAX_SAFE_INTEGER,
      });
      this.dispatcher.offer(request, (grant) => this.grants.push({ workspace, grant }));
    };
    for (let index = 0; index < few; index += 1) offer('calm', index);
    for (let index = 0; index < many; index += 1) offer('flood', index);
    await this.dispatcher.stop();
  },
);

Then(
  'at most {int} requests of the flood went out while none was answered',
  function (this: WiringWorld, max: number) {
    const sent = this.grants.filter(
      ({ workspace, grant }) => workspace === 'flood' && grant.kind === 'send',
    );
    assert.ok(sent.length > 0 && sent.length <= max, `${sent.length} requests were sent`);
  },
);

Given('the limits component of an entry that has started', function (this: WiringWorld) {
  const context = createContext();
  this.board = context.writers;
  this.limitsComponent = createLimits(context, () => Number.NEGATIVE_INFINITY);
  this.limitsComponent.start();
});

When('a configuration with a new workspace comes into force', function (this: WiringWorld) {
  const value = workspaceSchema.parse({ keyHashes: [], classes: ['gate'], selector: [] });
  const workspaces = new Map([['newcomers', { version: 1, value }]]);
  this.board.configuration.write({ ...this.board.configuration.read(), workspaces });
  const share = this.board.limits.read().get('newcomers');
  assert.ok(share, 'no limit share on the board when the write returned');
});

Then('that workspace has a limit share in the same turn', function (this: WiringWorld) {
  const share = this.board.limits.read().get('newcomers');
  assert.ok(share && share.requestsPerSecond > 0 && share.concurrentRequests >= 1);
});

After(async function (this: Partial<WiringWorld>) {
  await this.limitsComponent?.stop();
  await this.entry?.stop();
  delete this.entry;
});

function makePeer(name: string): Peer {
  return {
    name,
    incarnation: '1',
    address: UNUSED_ADDRESS,
    failureDomain: ENTRY_LOCATION.failureDomain,
    heardAt: 0,
    configurationRevision: 1,
    ready: true,
    stopping: false,
    draining: [],
    sent: [],
    demands: [],
  };
}

function createContext(): EntryContext {
  const board = createBoard();
  const settings = entrySettingsSchema.parse({
    name: 'entry-1',
    ...ENTRY_LOCATION,
    listen: { callers: UNUSED_ADDRESS, operators: UNUSED_ADDRESS, peers: UNUSED_ADDRESS },
    platform: { address: UNUSED_ADDRESS },
    callers: { queueLength: 1_000 },
  });
  return {
    identity: {
      name: 'entry-1',
      incarnation: '1',
      address: UNUSED_ADDRESS,
      peerAddress: UNUSED_ADDRESS,
      ...ENTRY_LOCATION,
    },
    settings,
    board,
    writers: board,
    clock: createSystemClock(),
    random: createRandom(7),
    logger: silentLogger,
    // The dispatcher and the limits make no calls.
    platform: {} as EntryContext['platform'],
    engines: {} as EntryContext['engines'],
  };
}
