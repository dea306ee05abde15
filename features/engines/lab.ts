/**
 * Engines, a client and raw servers of one scenario.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import {
  createEngineClient,
  type EngineChunk,
  type EngineClient,
  type EngineRequest,
  type EngineReport,
  type CompletionStart,
  type Order,
} from '../../src/adapters/engines/index.js';
import {
  createEngineStandIn,
  type EngineStandIn,
  type EngineStandInSettings,
} from '../../src/stand-ins/engine/index.js';
import { waitFor } from '../support/waiting.js';

/** What one scenario holds. */
export interface EngineLab {
  client: EngineClient;
  engines: EngineStandIn[];
  servers: Server[];
  sockets: Set<Socket>;
  /** What the caller of each attempt received. */
  received: Map<string, Received>;
  start?: CompletionStart;
  outcome?: string;
}

/** One caller's answer, whole or not. */
export interface Received {
  text: string;
  tokens: number;
  last: EngineChunk | undefined;
  chunksAfterLast: number;
  done: boolean;
}

export const MODEL = 'pass-assistant';
export const REPLICA = 'replica-1';

/** The world of a scenario that uses engines. */
export interface EngineWorld {
  engineLab: EngineLab;
}

export function openLab(world: Partial<EngineWorld>): EngineLab {
  world.engineLab ??= {
    client: createEngineClient({ connectTimeoutMs: 500 }),
    engines: [],
    servers: [],
    sockets: new Set(),
    received: new Map(),
  };
  return world.engineLab;
}

export async function closeLab(lab: EngineLab): Promise<void> {
  await lab.client.close();
  await Promise.all(lab.engines.map((engine) => engine.stop()));
  for (const socket of lab.sockets) socket.destroy();
  for (const server of lab.servers) server.close();
}

export async function startEngines(
  lab: EngineLab,
  count: number,
  settings: Partial<EngineStandInSettings> = {},
): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const instance = `engine-${lab.engines.length + 1}`;
    const started = await createEngineStandIn({ instance, memberCheckMs: 20, ...settings });
    lab.engines.push(started._unsafeUnwrap());
  }
}

export function engineAt(lab: EngineLab, rank: number): EngineStandIn {
  const engine = lab.engines[rank];
  if (!engine) throw new Error(`there is no engine of rank ${rank}`);
  return engine;
}

export function formOrder(lab: EngineLab, rank: number, fence: number): Order {
  const members = lab.engines.map(({ instance, incarnation, address }) => ({
    instance,
    incarnation,
    address,
  }));
  return {
    kind: 'form',
    fence,
    replica: REPLICA,
    model: MODEL,
    weights: '1',
    adapters: [],
    rank,
    members,
  };
}

export async function formReplica(lab: EngineLab, fence: number): Promise<void> {
  for (const [rank, engine] of lab.engines.entries()) {
    const sent = await lab.client.order(engine.address, formOrder(lab, rank, fence), 2_000);
    if (sent.isErr()) throw new Error(sent.error.message);
  }
  await waitForState(lab, 0, 'ready');
}

export async function reportOf(lab: EngineLab, rank: number): Promise<EngineReport> {
  const report = await lab.client.health(engineAt(lab, rank).address, 2_000);
  return report._unsafeUnwrap();
}

export async function waitForState(lab: EngineLab, rank: number, state: string): Promise<void> {
  await waitFor(`engine of rank ${rank} to be ${state}`, async () => {
    return (await reportOf(lab, rank)).state === state;
  });
}

export function requestFor(attempt: string, over: Partial<EngineRequest> = {}): EngineRequest {
  return {
    attempt,
    model: MODEL,
    replica: REPLICA,
    fence: 1,
    messages: [{ role: 'user', content: `May lorry 堆肥 ${attempt} pass the gate?` }],
    maxTokens: 40,
    priority: 5,
    seed: 7,
    resumeFrom: 0,
    ...over,
  };
}

/** Sends a completion to the leader and collects what comes, without waiting for its end. */
export async function ask(
  lab: EngineLab,
  request: EngineRequest,
  signal = new AbortController().signal,
): Promise<CompletionStart> {
  const start = await lab.client.complete(engineAt(lab, 0).address, request, signal);
  lab.start = start;
  const received = { text: '', tokens: 0, last: undefined, chunksAfterLast: 0, done: false };
  lab.received.set(request.attempt, received);
  if (start.kind === 'started') void collect(start.chunks, received);
  return start;
}

export async function waitForAnswer(lab: EngineLab, attempt: string): Promise<Received> {
  return waitFor(`the end of ${attempt}`, () => {
    const received = lab.received.get(attempt);
    return received?.done && received;
  });
}

/** A server that does what `onData` says with every piece that arrives. */
export async function startRawServer(
  lab: EngineLab,
  onData: (socket: Socket, data: string) => void,
): Promise<string> {
  const server = createServer((socket) => {
    lab.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      onData(socket, data.toString());
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  lab.servers.push(server);
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** An address where nobody listens. */
export async function takeDeadAddress(lab: EngineLab): Promise<string> {
  const address = await startRawServer(lab, () => undefined);
  const server = lab.servers.pop();
  server?.close();
  if (server) await once(server, 'close');
  return address;
}

async function collect(chunks: AsyncIterable<EngineChunk>, received: Received): Promise<void> {
  for await (const chunk of chunks) {
    if (received.last) received.chunksAfterLast += 1;
    if (chunk.kind === 'token') {
      received.text += chunk.text;
      received.tokens += 1;
    } else {
      received.last = chunk;
    }
  }
  received.done = true;
}
