/**
 * The quarantine of an entry, alone on a manual clock and in the request path.
 */
import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import type { ProcessCheck } from '../../src/adapters/engines/index.js';
import { createBoard } from '../../src/board/index.js';
import { partFingerprint } from '../../src/controllers/quarantine/index.js';
import type { Candidate } from '../../src/controllers/routing/index.js';
import { createManualClock, type ManualClock } from '../../src/core/clock/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRequestQuarantine, type RequestQuarantine } from '../../src/entry/requests/index.js';
import { fingerprintCompletion } from '../../src/entry/requests/request-quarantine.js';
import type { EntryContext } from '../../src/entry/types.js';
import { waitFor } from '../support/waiting.js';
import { call } from './client.js';
import { MODEL } from './fixture.js';
import type { RequestWorld } from './requests.steps.js';

interface QuarantineWorld extends RequestWorld {
  clock: ManualClock;
  quarantine: RequestQuarantine;
  peer: RequestQuarantine;
  completions: number;
  attemptsBefore: number;
}

const END_INTERVAL_MS = 3_000;
const QUARANTINE_MS = 600_000;

interface Message {
  role: 'system' | 'user';
  content: string;
}

function createMessages(shared: readonly string[], last: string): Message[] {
  return [
    ...shared.map((content) => ({ role: 'system' as const, content })),
    { role: 'user', content: last },
  ];
}

function fingerprints(shared: readonly string[], last: string): string[] {
  const caller = { workspace: 'market', class: 'interactive' as const, deadlineAt: 0 };
  return fingerprintCompletion({ caller, model: MODEL, messages: createMessages(shared, last) });
}

function nextFingerprints(world: QuarantineWorld, shared: readonly string[]): string[] {
  world.completions += 1;
  return fingerprints(shared, `question ${world.completions}`);
}

function createQuarantine(clock: ManualClock, check: ProcessCheck): RequestQuarantine {
  return createRequestQuarantine({
    board: createBoard(),
    clock,
    logger: silentLogger,
    engines: { checkProcess: () => Promise.resolve(check) },
    settings: { health: { probeTimeoutMs: 100 } },
  } as unknown as EntryContext);
}

async function breakOff(world: QuarantineWorld, leader: string, shared: string[]): Promise<void> {
  world.clock.advance(END_INTERVAL_MS);
  const candidate = { replica: 'r', leader, address: leader } as unknown as Candidate;
  world.quarantine.recordBroken(nextFingerprints(world, shared), candidate);
  await new Promise(setImmediate);
}

Given(
  /^an entry whose engines (have ended|broke off and lived) under completions with "(.*)" and "(.*)":$/,
  async function (
    this: QuarantineWorld,
    what: string,
    first: string,
    second: string,
    engines: DataTable,
  ) {
    this.clock = createManualClock(1_000);
    this.completions = 0;
    this.quarantine = createQuarantine(this.clock, what === 'have ended' ? 'ended' : 'alive');
    for (const engine of engines.raw().flat()) await breakOff(this, engine, [first, second]);
  },
);

When(
  'a completion with {string} and {string} is answered',
  function (this: QuarantineWorld, first: string, second: string) {
    this.clock.advance(END_INTERVAL_MS);
    const now = this.clock.now();
    this.quarantine.recordAnswered(nextFingerprints(this, [first, second]), now);
  },
);

When(
  'an engine ends under a completion with {string} and {string}',
  async function (this: QuarantineWorld, first: string, second: string) {
    await breakOff(this, 'engine-9', [first, second]);
  },
);

When('its peer learns of it by its digest', function (this: QuarantineWorld) {
  this.peer = createQuarantine(this.clock, 'alive');
  this.peer.extension.import('entry-1', this.quarantine.extension.export() ?? '', 20);
});

Then(
  /^a new completion with "(.*)" and "(.*)" is refused as quarantined( there too)?$/,
  function (this: QuarantineWorld, first: string, second: string, there: string | null) {
    const quarantine = there ? this.peer : this.quarantine;
    const refusal = quarantine.refusalOf(nextFingerprints(this, [first, second]));
    assert.equal(refusal?.kind, 'quarantined');
    assert.ok((refusal.retryAfterMs ?? 0) > 0);
  },
);

Then(
  /^a completion with "(\w+)"(?: alone| and "(\w+)") may be sent$/,
  function (this: QuarantineWorld, first: string, second: string | null) {
    const shared = [first, ...(second ? [second] : [])];
    assert.equal(this.quarantine.refusalOf(nextFingerprints(this, shared)), undefined);
  },
);

Given('each engine that breaks off counts as ended', function (this: QuarantineWorld) {
  this.entry.context.engines.checkProcess = () => Promise.resolve('ended');
});

When(
  'a caller sends the messages {string}, {string} and {string}',
  async function (this: QuarantineWorld, first: string, second: string, last: string) {
    const messages = createMessages([first, second], last);
    this.received = await call(this.entry.address, '/v1/chat/completions', {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ model: MODEL, messages, stream: false, max_tokens: 8 }),
    });
  },
);

Then(
  'the entry tells its peers that engines ended under {string} and {string}',
  async function (this: QuarantineWorld, first: string, second: string) {
    const [, ...parts] = fingerprints([first, second], 'any');
    assert.equal(parts.length, 2);
    await waitFor('the entry to tell of it', () => {
      const told = this.entry.quarantine.extension.export() ?? '';
      return parts.every((part) => told.includes(part));
    });
  },
);

When(
  'a peer tells that {string} is in quarantine',
  function (this: QuarantineWorld, content: string) {
    this.attemptsBefore = this.entry.listAttempts().length;
    const [, part = ''] = fingerprints([content], 'any');
    assert.ok(part.startsWith(partFingerprint('')));
    const quarantined = [{ fingerprint: part, ageMs: 10, leftMs: QUARANTINE_MS }];
    const text = JSON.stringify({ reports: [], quarantined });
    this.entry.quarantine.extension.import('entry-2', text, 0);
  },
);

Then('no engine was asked since', function (this: QuarantineWorld) {
  assert.equal(this.entry.listAttempts().length, this.attemptsBefore);
});
