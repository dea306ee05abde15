import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When, type World } from '@cucumber/cucumber';
import { request } from 'undici';
import { BUFFERS } from '../support/entry-buffers.js';
import { waitFor } from '../support/waiting.js';
import { createCompletion, type Ask } from './asking.js';
import { API_KEY } from './callers.js';
import { SERVICE, startDeployment, type EntryProcess } from './deployment.js';
import { inspect, INSPECTED, type InspectedProcess } from './memory-in-use.js';
import { createQuestion, type PromiseWorld } from './world.js';

interface SlowReaderWorld extends PromiseWorld, World {
  sockets: Socket[];
  inspected?: InspectedProcess;
  peak: Peak;
  maxTokens: number;
}

/** The highest figures seen while callers read nothing, in bytes. */
interface Peak {
  unread: number;
  memoryInUse: number;
  resident: number;
  /** Looks at the entry while all of the callers were being answered. */
  looks: number;
}

/** What the entry says of itself. */
interface Look {
  unread: number;
  inFlight: number;
}

const BYTES_PER_MEGABYTE = 1_000_000;
const SAMPLE_EVERY_MS = 50;
/** A collection holds the entry up: one goes on for at most this share of the time. */
const COLLECTING_SHARE = 0.1;
/**
 * Longer than the scenarios. Engine and entry write and read as fast as they can, and on a busy
 * machine a probe may wait for seconds. The engine would be given up, and its streams be moved.
 */
const FRESH_MS = 60_000;
const MS_PER_SECOND = 1_000;
const AMPLE = 1_000_000_000;

After(function (this: Partial<SlowReaderWorld>) {
  this.inspected?.close();
});

Given(
  'an entry before a service with large files and an engine with long answers',
  async function (this: SlowReaderWorld) {
    this.deployment = await startDeployment({
      engines: { 'fabric-1': 1 },
      replicaSize: 1,
      engineOptions: ['--decode-ms-per-token', '0.1'],
      limits: { requestsPerSecond: AMPLE, concurrentRequests: AMPLE, tokensPerSecond: AMPLE },
      entryRuntimeOptions: [INSPECTED],
      freshMs: FRESH_MS,
    });
    await this.deployment.whenWhole(1);
    await this.deployment.whenReady();
    this.inspected = await inspect(this.deployment.entry(0).process);
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
  /^the entry held no more for them than the buffers of (\d+) (downloads|streams) take$/,
  function (this: SlowReaderWorld, callers: string, kind: keyof typeof BUFFERS) {
    const { unread, looks, resident } = this.peak;
    const bound = Number(callers) * BUFFERS[kind];
    this.log(
      `${callers} ${kind}: held at most ${unread} bytes of ${bound}, ${looks} looks; ` +
        `resident memory grew by ${formatMegabytes(resident)}`,
    );
    assert.ok(looks > 0, 'nobody looked while all were being answered');
    assert.ok(unread <= bound, `${unread} bytes, more than ${bound}`);
  },
);

Then(
  "the entry's memory in use grew by less than {int} megabytes",
  function (this: SlowReaderWorld, megabytes: number) {
    const { memoryInUse } = this.peak;
    this.log(`memory in use grew by ${formatMegabytes(memoryInUse)}`);
    assert.ok(memoryInUse < megabytes * BYTES_PER_MEGABYTE, `${memoryInUse} bytes`);
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

function formatMegabytes(bytes: number): string {
  return `${(bytes / BYTES_PER_MEGABYTE).toFixed(1)} MB`;
}

/** Asks over sockets that nobody reads from, and watches the entry until it has given all up. */
async function askAndIgnore(
  world: SlowReaderWorld,
  callers: number,
  seconds: number,
  asked: Ask,
): Promise<void> {
  const entry = world.deployment.entry(0);
  const { inspected } = world;
  assert.ok(inspected, 'the entry is not inspected');
  const inUseBefore = await inspected.memoryInUse();
  const residentBefore = await readResident(entry.process.pid);
  const peak: Peak = { unread: 0, memoryInUse: 0, resident: 0, looks: 0 };
  world.peak = peak;
  world.sockets = Array.from({ length: callers }, () =>
    startAsking(entry.callers, seconds * MS_PER_SECOND, asked),
  );
  await waitFor('all to be answered', async () => (await lookAt(entry)).inFlight === callers);
  let collectAt = 0;
  for (;;) {
    const look = await lookAt(entry);
    if (look.inFlight === 0) break;
    const startedAt = performance.now();
    if (startedAt >= collectAt) {
      const inUse = (await inspected.memoryInUse()) - inUseBefore;
      peak.memoryInUse = Math.max(peak.memoryInUse, inUse);
      collectAt = startedAt + (performance.now() - startedAt) / COLLECTING_SHARE;
    }
    const resident = (await readResident(entry.process.pid)) - residentBefore;
    peak.unread = Math.max(peak.unread, look.unread);
    peak.resident = Math.max(peak.resident, resident);
    if (look.inFlight === callers) peak.looks += 1;
    await sleep(SAMPLE_EVERY_MS);
  }
}

async function lookAt({ operators }: EntryProcess): Promise<Look> {
  const answer = await request(`http://${operators}/metrics`);
  const text = await answer.body.text();
  const read = (name: string): number => {
    const value = new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1];
    assert.ok(value !== undefined, `the entry does not count ${name}`);
    return Number(value);
  };
  return {
    unread: read('yuccasail_unread_answer_bytes'),
    inFlight: read('yuccasail_requests_in_flight'),
  };
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
