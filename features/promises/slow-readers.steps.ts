import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When, type World } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { createCompletion, type Ask } from './asking.js';
import { API_KEY } from './callers.js';
import { SERVICE, startDeployment } from './deployment.js';
import { createQuestion, type PromiseWorld } from './world.js';

interface SlowReaderWorld extends PromiseWorld, World {
  sockets: Socket[];
  grownBytes: number;
  maxTokens: number;
}

const BYTES_PER_MEGABYTE = 1_000_000;
const SAMPLE_EVERY_MS = 50;
const MS_PER_SECOND = 1_000;
const AMPLE = 1_000_000_000;
/**
 * The runtime's young generation grows by up to 20 megabytes of garbage when the machine is busy,
 * whatever is held for callers. At a fixed small size, in megabytes, growth is what is held.
 */
const YOUNG_GENERATION = '--max-semi-space-size=1';

Given(
  'an entry before a service with large files and an engine with long answers',
  async function (this: SlowReaderWorld) {
    this.deployment = await startDeployment({
      engines: { 'fabric-1': 1 },
      replicaSize: 1,
      engineOptions: ['--decode-ms-per-token', '0.1'],
      limits: { concurrentRequests: AMPLE, tokensPerSecond: AMPLE },
      entryRuntimeOptions: [YOUNG_GENERATION],
    });
    await this.deployment.whenWhole(1);
    await this.deployment.whenReady();
  },
);

When(
  '{int} callers ask for {int} megabytes each with {int} seconds to go, and read nothing',
  async function (this: SlowReaderWorld, callers: number, megabytes: number, seconds: number) {
    const path = `/services/${SERVICE}/download?bytes=${megabytes * BYTES_PER_MEGABYTE}`;
    await askAndIgnore(this, callers, seconds, { method: 'GET', path });
  },
);

When(
  '{int} callers ask for an answer of {int} tokens with {int} seconds to go, and read nothing',
  async function (this: SlowReaderWorld, callers: number, maxTokens: number, seconds: number) {
    this.maxTokens = maxTokens;
    const asked = createCompletion(createQuestion(1, maxTokens), true);
    await askAndIgnore(this, callers, seconds, asked);
  },
);

Then(
  "the entry's resident memory grew by less than {int} megabytes",
  function (this: SlowReaderWorld, megabytes: number) {
    this.log(`resident memory grew by ${(this.grownBytes / BYTES_PER_MEGABYTE).toFixed(1)} MB`);
    assert.ok(this.grownBytes < megabytes * BYTES_PER_MEGABYTE, `${this.grownBytes} bytes`);
  },
);

Then(
  'the service is rid of these callers once their deadline has passed',
  async function (this: SlowReaderWorld) {
    const { proxy } = this.deployment.service(0);
    await waitFor('the connections to be closed', () => proxy.counters().openConnections === 0);
    const { bytesToSource } = proxy.counters();
    this.log(`${(bytesToSource / BYTES_PER_MEGABYTE).toFixed(1)} MB left the service`);
  },
);

Then(
  'the engine was told to stop at the deadline, long before the last token',
  async function (this: SlowReaderWorld) {
    const engine = this.deployment.engine('fabric-1-engine-0');
    const attempts = await waitFor('the attempts to end', async () => {
      const all = (await engine.journal()).attempts;
      return all.length === this.sockets.length && all.every(({ end }) => end) && all;
    });
    for (const { end, tokens } of attempts) {
      assert.ok(end === 'cancelled' || end === 'disconnected', `ended by ${end}`);
      assert.ok(tokens < this.maxTokens, `${tokens} tokens were written`);
    }
    this.log(`tokens written: ${attempts.map(({ tokens }) => tokens).join()}`);
  },
);

Then('none of these callers has a whole answer', async function (this: SlowReaderWorld) {
  const bodies = await Promise.all(this.sockets.map(readToEnd));
  for (const { bytes, end } of bodies) {
    assert.ok(bytes < 50 * BYTES_PER_MEGABYTE, `${bytes} bytes`);
    assert.ok(!end.includes('[DONE]'), end);
  }
});

/** Asks over sockets that nobody reads from, and watches the entry until the deadline has passed. */
async function askAndIgnore(
  world: SlowReaderWorld,
  callers: number,
  seconds: number,
  asked: Ask,
): Promise<void> {
  const entry = world.deployment.entry(0);
  const before = await readResident(entry.process.pid);
  world.sockets = Array.from({ length: callers }, () =>
    startAsking(entry.callers, seconds * MS_PER_SECOND, asked),
  );
  world.grownBytes = 0;
  // The window observed: from the request to half a second past its deadline.
  const until = performance.now() + (seconds + 0.5) * MS_PER_SECOND;
  while (performance.now() < until) {
    const grown = (await readResident(entry.process.pid)) - before;
    world.grownBytes = Math.max(world.grownBytes, grown);
    await sleep(SAMPLE_EVERY_MS);
  }
}

function startAsking(address: string, deadlineMs: number, asked: Ask): Socket {
  const { hostname, port } = new URL(`http://${address}`);
  const body = typeof asked.body === 'string' ? asked.body : '';
  const head = [
    `${asked.method ?? 'POST'} ${asked.path} HTTP/1.1`,
    `Host: ${address}`,
    `Authorization: Bearer ${API_KEY}`,
    `X-Request-Deadline-Ms: ${deadlineMs}`,
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Connection: close',
  ];
  const socket = connect({ host: hostname, port: Number(port) });
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
  return socket;
}

/** The number of bytes, and the last of them as text. */
async function readToEnd(socket: Socket): Promise<{ bytes: number; end: string }> {
  let bytes = 0;
  let end = '';
  try {
    for await (const part of socket) {
      bytes += (part as Buffer).length;
      end = (end + (part as Buffer).toString('latin1')).slice(-1_000);
    }
  } catch {
    // A reset is one way to be told that there is no more.
  }
  return { bytes, end };
}

/** In bytes, from the kernel's account of the process; without the pages of the program's own file. */
async function readResident(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/^RssAnon:\s+(\d+) kB$/m.exec(status)?.[1]) * 1_024;
}
