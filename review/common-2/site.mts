/**
 * A small deployment for the cases of the second review: the project's stand-ins for the store and the
 * backend servers, gateways as processes with the command of the deploy file, and callers.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { Agent, request as httpRequest, type IncomingMessage } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  EngineStandIn,
  type Arrival,
  type EngineOptions,
} from '../../features/gateway/stand-ins/engine.js';
import { StoreStandIn } from '../../features/gateway/stand-ins/store.js';
import { nextAddress } from '../../features/support/ports.js';

/** The command of the deploy file, without its last word, the settings file. */
const COMMAND = [
  '--max-old-space-size=160',
  '--max-semi-space-size=2',
  '--v8-pool-size=1',
  'target/yuccasail-gateway.mjs',
];

export interface Gateway {
  name: string;
  zone: string;
  callers: string;
  readiness: string;
  peers: string;
  metrics: string;
  file: string;
  child: ChildProcess;
  log: string[];
}

export interface Answer {
  id: string;
  gateway: string;
  sentAt: number;
  endedAt: number;
  status?: number;
  seal?: string;
  body: string;
  whole: boolean;
  error?: string;
  headers?: IncomingMessage['headers'];
}

export interface Ask {
  id: string;
  method?: string;
  path: string;
  headers: Record<string, string>;
  body?: string | Buffer;
  agent?: Agent;
  /** Gives up after so long. */
  patienceMs?: number;
}

export class Site {
  readonly store = new StoreStandIn();
  readonly journal: Arrival[] = [];
  readonly servers: EngineStandIn[] = [];
  readonly gateways: Gateway[] = [];
  readonly record: string[] = [];
  private readonly startedAt = performance.now();
  private folder = '';

  async open(): Promise<void> {
    await this.store.listen();
    this.folder = await mkdtemp(join(tmpdir(), 'review-'));
  }

  /** Milliseconds since the start of the run. */
  now(): number {
    return Math.round(performance.now() - this.startedAt);
  }

  /** The same for a time of the steady clock. */
  at(time: number): number {
    return Math.round(time - this.startedAt);
  }

  note(line: string): void {
    this.record.push(`${String(this.now()).padStart(7)} ms  ${line}`);
  }

  async addServer(
    options: Partial<EngineOptions> & { id: string; service: string },
  ): Promise<EngineStandIn> {
    const server = new EngineStandIn({
      zone: 'north',
      store: this.store,
      journal: this.journal,
      ...options,
    });
    this.servers.push(server);
    await server.listen();
    return server;
  }

  /** Engines and services renew their entries, as the pages ask. */
  startHeartbeats(everyMs = 1_200): void {
    const timer = setInterval(() => {
      for (const server of this.servers) server.report();
    }, everyMs);
    timer.unref();
  }

  /** Reserves addresses and names for gateways. */
  planGateways(zones: readonly string[]): void {
    for (const [index, zone] of zones.entries()) {
      const name = `edge-${zone}-${index + 1}`;
      this.gateways.push({
        name,
        zone,
        callers: nextAddress(),
        readiness: nextAddress(),
        peers: nextAddress(),
        metrics: nextAddress(),
        file: join(this.folder, `${name}.toml`),
        child: undefined as unknown as ChildProcess,
        log: [],
      });
    }
  }

  async startGateways(zones: readonly string[], settings: readonly string[] = []): Promise<void> {
    this.planGateways(zones);
    const seeds = this.gateways.slice(0, 3).map(({ peers }) => peers);
    for (const gateway of this.gateways) {
      await writeFile(
        gateway.file,
        [
          `name = "${gateway.name}"`,
          `failureDomain = "${gateway.zone}"`,
          `seeds = ${JSON.stringify(seeds)}`,
          '[listen]',
          `callers = "${gateway.callers}"`,
          `readiness = "${gateway.readiness}"`,
          `peers = "${gateway.peers}"`,
          `metrics = "${gateway.metrics}"`,
          '[store]',
          `address = "${this.store.address}"`,
          '[configuration]',
          'applyMs = 2000',
          '[servers]',
          'drainMs = 2000',
          'heartbeatMs = 1200',
          '[retries]',
          'ratio = 0.2',
          'windowMs = 10000',
          'slack = 105',
          '[engines]',
          'stallMs = 6000',
          '[stopping]',
          'graceMs = 8000',
          ...settings,
        ].join('\n'),
      );
      this.launch(gateway);
    }
    await Promise.all(this.gateways.map((gateway) => this.waitUntilReady(gateway)));
  }

  launch(gateway: Gateway): void {
    gateway.child = spawn(process.execPath, [...COMMAND, gateway.file], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let rest = '';
    gateway.child.stdout?.on('data', (chunk: Buffer) => {
      const lines = (rest + chunk.toString()).split('\n');
      rest = lines.pop() ?? '';
      gateway.log.push(...lines.map((line) => `${this.now()} ${line}`));
    });
  }

  async waitUntilReady(gateway: Gateway, timeoutMs = 20_000): Promise<void> {
    const end = performance.now() + timeoutMs;
    while (performance.now() < end) {
      const answer = await ask(
        gateway,
        { id: 'ready', path: '/readyz', headers: {}, patienceMs: 500 },
        gateway.readiness,
      );
      if (answer.status === 200) return;
      await sleep(50);
    }
    throw new Error(`${gateway.name} is not ready`);
  }

  /** Requests that ran, by id. */
  runsOf(id: string): Arrival[] {
    return this.journal.filter((arrival) => arrival.id === id && arrival.ran);
  }

  async close(recordFile?: string): Promise<void> {
    for (const { child } of this.gateways) child.kill('SIGKILL');
    for (const server of this.servers) server.close();
    this.store.close();
    if (recordFile) await writeFile(recordFile, `${this.record.join('\n')}\n`);
    await rm(this.folder, { recursive: true, force: true });
  }
}

export async function ask(
  gateway: Pick<Gateway, 'name' | 'callers'>,
  { id, method = 'GET', path, headers, body, agent, patienceMs = 10_000 }: Ask,
  address = gateway.callers,
): Promise<Answer> {
  const answer: Answer = {
    id,
    gateway: gateway.name,
    sentAt: performance.now(),
    endedAt: 0,
    body: '',
    whole: false,
  };
  const [host = '', port = ''] = address.split(':');
  const outgoing = httpRequest({
    host,
    port,
    method,
    path,
    ...(agent ? { agent } : { agent: false }),
    headers: { ...headers, ...(id !== 'ready' && { 'Attempt-Id': id }) },
  });
  const timer = setTimeout(() => outgoing.destroy(new Error('gave up')), patienceMs);
  try {
    outgoing.end(body);
    const [incoming] = (await once(outgoing, 'response')) as [IncomingMessage];
    outgoing.on('error', () => undefined);
    answer.status = incoming.statusCode ?? 0;
    answer.headers = incoming.headers;
    const seal = incoming.headers['response-seal'];
    if (typeof seal === 'string') answer.seal = seal;
    for await (const chunk of incoming) answer.body += String(chunk);
    answer.whole = incoming.complete;
  } catch (error) {
    answer.error = error instanceof Error ? error.message : String(error);
  } finally {
    clearTimeout(timer);
    answer.endedAt = performance.now();
  }
  return answer;
}
