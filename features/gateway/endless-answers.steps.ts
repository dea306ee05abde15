/**
 * Backend servers that send bytes without end, beside a gateway as a process.
 */
import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { groupBy } from '../../src/core/collections/index.js';
import { PackedBytes } from '../../src/core/packed-bytes/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { EventStream, MAX_BYTES_WITHOUT_EVENT } from '../../src/controllers/forwarding/index.js';
import { waitFor } from '../support/waiting.js';
import { Site, type Answer } from './site.js';
import { exampleHeaders } from './stand-ins/configuration.js';
import type { EngineFault, EngineStandIn } from './stand-ins/engine.js';
import type { GatewayWorld } from './world.js';

interface ProcessUse {
  cpuMs: number;
  peakKb: number;
}

interface EndlessWorld extends GatewayWorld {
  faulty: EngineStandIn[];
  before: ProcessUse;
  spentMs: number;
  stream: GatewayWorld['stream'];
  events: EventStream;
  collected: { packed: PackedBytes; whole: Buffer }[];
}

const ENGINES = 6;
const PLAIN_SERVERS = 3;
const TICK_MS = 10;
const MB = 1_048_576;

const head = (id: string, ...fields: string[]): string =>
  ['HTTP/1.1 200 OK', `Attempt-Id: ${id}`, 'Response-Seal: s', ...fields, '', ''].join('\r\n');
const chunked = (id: string): string =>
  head(id, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked');
const unframed = (id: string): string => head(id, 'Content-Type: text/event-stream');

const FORMS: Readonly<Record<string, Omit<Extract<EngineFault, { kind: 'endless' }>, 'kind'>>> = {
  'header fields': { begin: () => 'HTTP/1.1 200 OK\r\n', repeat: 'X-A: b\r\n' },
  'one header field': { begin: () => 'HTTP/1.1 200 OK\r\nX-A: ', repeat: 'b' },
  'a reason phrase': { begin: () => 'HTTP/1.1 200 ', repeat: 'b' },
  'blank lines': { begin: () => '', repeat: '\r\n' },
  'bytes that are no answer': { begin: () => '', repeat: 'z' },
  'interim responses': { begin: () => '', repeat: 'HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n' },
  'a chunk extension': { begin: (id) => `${chunked(id)}5;`, repeat: 'e' },
  'a chunk size': { begin: chunked, repeat: '0' },
  'a body that ends with its connection': { begin: unframed, repeat: 'data:b' },
  'a body in chunks': { begin: chunked, repeat: '6\r\ndata:b\r\n' },
  'a body in chunks of one byte': { begin: chunked, repeat: '1\r\nb\r\n' },
  'a body in chunks with extensions': {
    begin: chunked,
    repeat: `80;${'e'.repeat(900)}\r\n${'b'.repeat(128)}\r\n`,
  },
  'an event in chunks with extensions': {
    begin: (id) => `${chunked(id)}6\r\ndata: \r\n`,
    repeat: `10;${'e'.repeat(100)}\r\n${'b'.repeat(16)}\r\n`,
  },
  'an event in chunks of one byte': {
    begin: (id) => `${chunked(id)}6\r\ndata: \r\n`,
    repeat: '1\r\nb\r\n',
  },
  'events in chunks of one byte': {
    begin: chunked,
    repeat: Array.from('data: b\n\n', (byte) => `1\r\n${byte}\r\n`).join(''),
  },
  'a body with a huge length': {
    begin: (id) => head(id, 'Content-Length: 1000000000000'),
    repeat: 'data:b',
  },
  trailers: { begin: (id) => `${chunked(id)}1\r\nb\r\n0\r\n`, repeat: 'X-A: b\r\n' },
  'one event': { begin: (id) => `${unframed(id)}data: `, repeat: 'x' },
  'comment lines': { begin: unframed, repeat: ': c\n' },
  comments: { begin: unframed, repeat: ': c\n\n' },
};

async function readUse(pid: number): Promise<ProcessUse> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const [, , ...fields] = stat.slice(stat.lastIndexOf(')')).split(' ');
  const ticks = Number(fields[10]) + Number(fields[11]);
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return { cpuMs: ticks * TICK_MS, peakKb: Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) };
}

Given(
  /^a gateway beside plain servers and engines, (one of each|all but two) sending (.+) without end$/,
  async function (this: EndlessWorld, which: string, what: string) {
    const form = FORMS[what];
    assert.ok(form, what);
    this.site = new Site();
    this.answers = [];
    await this.site.open();
    for (let index = 0; index < ENGINES; index += 1)
      await this.site.addServer({ id: `engine-${index}`, service: 'models', domain: 'fabric-0' });
    for (let index = 0; index < PLAIN_SERVERS; index += 1)
      await this.site.addServer({ id: `plain-${index}`, service: 'app' });
    this.site.configure();
    this.gateway = await this.site.startGateway();
    await this.site.waitUntilReady(this.gateway);
    await this.site.waitForOpenGroups(ENGINES / 2);
    // An answer by another server needs another one that the gateway knows.
    await waitFor('the gateway to know the groups', () => {
      const opened = this.gateway.lines.filter(
        ({ name, state }) => name === 'serverChanged' && state === 'open',
      );
      return opened.length >= ENGINES / 2;
    });
    const engines = this.site.listOpen().filter(({ membership }) => membership?.rank === 0);
    const plain = this.site.servers.filter(({ options }) => options.service === 'app');
    this.faulty =
      which === 'one of each'
        ? [...engines.slice(0, 1), ...plain.slice(0, 1)]
        : [...engines.slice(1), ...plain.slice(1)];
    assert.ok(this.faulty.length >= 2);
    for (const server of this.faulty) server.fault = { kind: 'endless', ...form };
    this.before = await readUse(this.gateway.pid);
  },
);

When(
  '{int} lookups and {int} streams come while others use the sound servers',
  async function (this: EndlessWorld, lookups: number, streams: number) {
    const ask = (path: string): Promise<Answer> => {
      const headers = exampleHeaders(this.site.nextId(), 2_000);
      return this.site.request(this.gateway, { path, headers });
    };
    for (let sent = 0; sent < Math.max(lookups, streams); sent += 1) {
      const answers = await Promise.all([ask('/list/x'), ask('/chat/x'), ask('/chat/x')]);
      this.answers.push(...answers);
    }
    await waitFor('the answers without end to be closed', () =>
      this.faulty.every(({ working }) => working.size === 0),
    );
  },
);

When(
  '{int} lookups and {int} streams come at once, {int} times',
  async function (this: EndlessWorld, lookups: number, streams: number, times: number) {
    const paths = [
      ...Array.from({ length: lookups }, () => '/list/x'),
      ...Array.from({ length: streams }, () => '/chat/x'),
    ];
    for (let round = 0; round < times; round += 1) {
      const asked = paths.map((path) =>
        this.site.request(this.gateway, {
          path,
          headers: exampleHeaders(this.site.nextId(), 2_000),
        }),
      );
      this.answers.push(...(await Promise.all(asked)));
    }
    await waitFor('the answers without end to be closed', () =>
      this.faulty.every(({ working }) => working.size === 0),
    );
  },
);

Then(
  'the gateway answers a lookup once its servers are sound',
  async function (this: EndlessWorld) {
    for (const server of this.faulty) server.fault = { kind: 'none' };
    await waitFor('a lookup to be answered', async () => {
      const headers = exampleHeaders(this.site.nextId(), 2_000);
      const { status } = await this.site.request(this.gateway, { path: '/list/x', headers });
      return status === 200;
    });
  },
);

Then(
  'the gateway has used at most {int} MB more of memory',
  async function (this: EndlessWorld, mb: number) {
    const use = await readUse(this.gateway.pid);
    const grownKb = use.peakKb - this.before.peakKb;
    const byStatus = groupBy(this.answers, ({ status }) => status);
    const statuses = [...byStatus].map(([status, answers]) => `${answers.length} of ${status}`);
    this.log(`${grownKb} KB more; answers: ${statuses.join(', ')}`);
    assert.ok(grownKb <= mb * 1_024, `${grownKb} KB`);
  },
);

Then(
  'all of the lookups and streams are answered whole by other servers',
  function (this: EndlessWorld) {
    const failed = this.answers.filter(({ status, whole }) => status !== 200 || !whole);
    assert.deepEqual(
      failed.map(({ status, body }) => `${status} ${body.slice(0, 200)}`),
      [],
    );
  },
);

Then(
  'each answer without end was closed after at most {int} MB',
  function (this: EndlessWorld, most: number) {
    const bytes = this.faulty.flatMap(({ endlessBytes }) => endlessBytes);
    assert.ok(bytes.length > 0, 'none was asked for');
    this.log(`closed after ${Math.max(...bytes)} bytes at most, ${bytes.length} times`);
    assert.ok(Math.max(...bytes) <= most * MB, `${Math.max(...bytes)} bytes`);
  },
);

Then(
  'the gateway has used at most {int} ms of processor time and {int} MB more of memory',
  async function (this: EndlessWorld, cpuMs: number, mb: number) {
    const use = await readUse(this.gateway.pid);
    const usedMs = use.cpuMs - this.before.cpuMs;
    const grownKb = use.peakKb - this.before.peakKb;
    this.log(`${usedMs} ms of processor time, ${grownKb} KB more`);
    assert.ok(usedMs <= cpuMs, `${usedMs} ms`);
    assert.ok(grownKb <= mb * 1_024, `${grownKb} KB`);
  },
);

Then('the log blames the servers for them', function (this: EndlessWorld) {
  const ids = this.faulty
    .filter(({ endlessBytes }) => endlessBytes.length > 0)
    .map(({ options }) => options.id);
  for (const id of ids) {
    const line = this.gateway.lines.find(
      ({ name, server }) => name === 'attemptEnded' && server === id,
    );
    assert.ok(line?.how, `nothing is logged of ${id}`);
  }
});

When(
  '{int} KB of an event without end arrive in chunks of {int} bytes',
  function (this: EndlessWorld, kb: number, size: number) {
    this.events = new EventStream();
    const chunk = Buffer.alloc(size, 'x');
    const startedAt = performance.now();
    for (let sent = 0; sent < kb * 1_024; sent += size)
      assert.equal(this.events.push(chunk).fault, undefined);
    this.spentMs = performance.now() - startedAt;
  },
);

Then(
  'reading them takes at most {int} ms, and {int} KB more are one too many',
  function (this: EndlessWorld, ms: number, kb: number) {
    assert.ok(this.spentMs <= ms, `${this.spentMs} ms`);
    assert.ok(kb * 1_024 < MAX_BYTES_WITHOUT_EVENT);
    assert.equal(this.events.push(Buffer.alloc(kb * 1_024, 'x')).fault, 'endless');
  },
);

When(
  '{int} draws of chunks of {int} to {int} bytes are collected',
  function (this: EndlessWorld, draws: number, least: number, most: number) {
    const random = createRandom(draws);
    this.collected = Array.from({ length: draws }, () => {
      const packed = new PackedBytes();
      const chunks = Array.from({ length: 1 + Math.floor(random.fraction() * 40) }, (_, index) => {
        const range = random.fraction() < 0.7 ? 100 : most - least;
        const length = least + Math.floor(random.fraction() * range);
        // Within a larger one, as a chunk of a body is within the data that it was received with.
        const room = Math.floor(random.fraction() * 3) * length;
        return Buffer.alloc(room + length, index).subarray(room);
      });
      for (const chunk of chunks) packed.push(chunk);
      return { packed, whole: Buffer.concat(chunks) };
    });
  },
);

Then('each draw has the bytes of its chunks in order', function (this: EndlessWorld) {
  const end = Buffer.from('end');
  for (const { packed, whole } of this.collected) {
    assert.equal(packed.length, whole.length);
    assert.ok(packed.concat().equals(whole));
    assert.ok(packed.concat(end).equals(Buffer.concat([whole, end])));
    packed.clear();
    assert.equal(packed.concat().length, 0);
  }
});
