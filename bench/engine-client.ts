/**
 * What the engine client costs: processor time for one chunk of a stream, and bytes of one probe.
 *
 *     node --import tsx bench/engine-client.ts
 *
 * Prints one JSON line and fails when a bound is broken.
 */
import { createServer, connect, type AddressInfo, type Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  createEngineClient,
  type EngineClient,
  type EngineRequest,
} from '../src/adapters/engines/index.js';
import { createEngineStandIn } from '../src/stand-ins/engine/index.js';

/** A node relays some 640 tokens a second at the peak: 260,000 shared by 410 nodes. */
const CHUNKS = 200_000;
const CHUNKS_PER_WRITE = 4;
const PROBES = 200;
/** Most processor time for one chunk, from bytes to a checked value, in microseconds. */
const CHUNK_BOUND_US = 15;
/** Most bytes of one probe, request and answer with their headers. */
const PROBE_BOUND_BYTES = 1_000;
const MICROSECONDS = 1_000;

const request: EngineRequest = {
  attempt: 'entry-1-000001',
  model: 'pass-assistant',
  replica: 'replica-1',
  fence: 1,
  messages: [{ role: 'user', content: 'x' }],
  maxTokens: CHUNKS,
  priority: 5,
  seed: 1,
  resumeFrom: 0,
};

const FORM = {
  kind: 'form' as const,
  fence: 1,
  replica: 'replica-1',
  model: 'pass-assistant',
  weights: '1',
  adapters: [],
  rank: 0,
};
const POLL_MS = 20;

const chunkUs = await measureChunks();
const probeBytes = await measureProbe();
console.log(JSON.stringify({ bench: 'engine-client', chunkUs, probeBytes }));
process.exitCode = chunkUs <= CHUNK_BOUND_US && probeBytes <= PROBE_BOUND_BYTES ? 0 : 1;

/** Relays a long answer from a server that has all of it ready; its own cost is taken off. */
async function measureChunks(): Promise<number> {
  const answer = renderAnswer();
  const server = createServer((socket) => {
    socket.once('data', () => socket.end(answer));
    socket.on('error', () => undefined);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = createEngineClient();
  const baseline = await readPlainly(address);
  const before = process.cpuUsage();
  const start = await client.complete(address, request, new AbortController().signal);
  let tokens = 0;
  if (start.kind === 'started') {
    for await (const chunk of start.chunks) if (chunk.kind === 'token') tokens += 1;
  }
  const { user, system } = process.cpuUsage(before);
  if (tokens !== CHUNKS) throw new Error(`${tokens} of ${CHUNKS} tokens arrived`);
  await client.close();
  server.close();
  return round((user + system - baseline) / CHUNKS);
}

function renderAnswer(): Buffer {
  const parts = [
    'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n',
  ];
  const { attempt } = request;
  for (let sequence = 0; sequence < CHUNKS; sequence += CHUNKS_PER_WRITE) {
    const events = Array.from({ length: CHUNKS_PER_WRITE }, (_, index) =>
      renderEvent({ kind: 'token', attempt, sequence: sequence + index, text: 'lorry ' }),
    );
    parts.push(renderPart(events.join('')));
  }
  const counts = { promptTokens: 1, cachedTokens: 0 };
  const end = { kind: 'end', attempt, sequence: CHUNKS, reason: 'length', ...counts };
  return Buffer.from(`${parts.join('')}${renderPart(renderEvent(end))}0\r\n\r\n`);
}

function renderEvent(chunk: object): string {
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

function renderPart(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** Processor time of receiving the same bytes without looking at them, in microseconds. */
async function readPlainly(address: string): Promise<number> {
  const [host, port] = address.split(':');
  const before = process.cpuUsage();
  const socket = connect(Number(port), host);
  socket.write('x');
  socket.resume();
  await once(socket, 'close');
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

/** Counts the bytes of probes of a leader under a kept connection. */
async function measureProbe(): Promise<number> {
  const engine = (await createEngineStandIn({ instance: 'engine-0001' }))._unsafeUnwrap();
  const { instance, incarnation, address } = engine;
  const client = createEngineClient();
  const members = [{ instance, incarnation, address }];
  await client.order(address, { ...FORM, members }, 1_000);
  await waitUntilReady(client, address);
  const relay = await startRelay(address);
  for (let probe = 0; probe < PROBES; probe += 1) {
    const report = await client.health(relay.address, 1_000);
    if (report.isErr()) throw new Error(report.error.message);
  }
  await client.close();
  relay.stop();
  await engine.stop();
  return Math.round(relay.bytes() / PROBES);
}

async function waitUntilReady(client: EngineClient, address: string): Promise<void> {
  for (;;) {
    const report = await client.health(address, 1_000);
    if (report.isOk() && report.value.state === 'ready') return;
    await sleep(POLL_MS);
  }
}

interface Relay {
  address: string;
  bytes(): number;
  stop(): void;
}

async function startRelay(target: string): Promise<Relay> {
  const [host, port] = target.split(':');
  let bytes = 0;
  const forward = (from: Socket, to: Socket): void => {
    from.on('data', (data) => {
      bytes += data.length;
      to.write(data);
    });
    from.on('close', () => to.destroy());
    from.on('error', () => undefined);
  };
  const server = createServer((near) => {
    const far = connect(Number(port), host);
    forward(near, far);
    forward(far, near);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return { address, bytes: () => bytes, stop: () => server.close() };
}

function round(microseconds: number): number {
  return Math.round(microseconds * MICROSECONDS) / MICROSECONDS;
}
