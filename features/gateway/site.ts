/**
 * A small site for scenarios: stand-ins for the store, engines and services; gateways as processes.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import {
  request as httpRequest,
  type Agent,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { nextAddress } from '../support/ports.js';
import { waitFor } from '../support/waiting.js';
import {
  exampleConfiguration,
  exampleHeaders,
  type ExampleOptions,
} from './stand-ins/configuration.js';
import { EngineStandIn, type Arrival, type EngineOptions } from './stand-ins/engine.js';
import { StoreStandIn } from './stand-ins/store.js';

const PROGRAM = 'target/yuccasail-gateway.mjs';
const HOME_ZONE = 'north';
const MAX_LOG_LINES = 20_000;

/** One line of a gateway's log. */
export type LogLine = Readonly<Record<string, unknown>>;

/** A gateway process. */
export interface GatewayProcess {
  pid: number;
  callers: string;
  readiness: string;
  metrics: string;
  lines: LogLine[];
  signal(name: NodeJS.Signals): void;
  exited: Promise<number | null>;
}

/** Addresses and settings of a gateway. */
export interface GatewayPlan {
  name: string;
  failureDomain: string;
  callers: string;
  readiness: string;
  peers: string;
  metrics: string;
  store: string;
  seeds: string[];
  /** Whether the scenario reads its log. */
  readsLog: boolean;
  /** Grace period of a stop; the default of the settings when absent. */
  graceMs?: number;
  /** Follows evacuations with this bound; not at all when absent. */
  evacuateMs?: number;
  /** Bounds for cold servers; off when absent. */
  coldServers?: { overrun: number; slack: number };
}

/** A response as received by a caller. */
export interface Answer {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
  /** Whether the response was received completely. */
  whole: boolean;
}

export interface RequestOptions {
  method?: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  agent?: Agent;
}

/** Formats the settings file of a gateway. */
export function writeSettings(plan: Omit<GatewayPlan, 'readsLog'>): string {
  const { name, failureDomain, callers, readiness, peers, metrics, store, seeds } = plan;
  const { graceMs, evacuateMs } = plan;
  const { coldServers: cold } = plan;
  return [
    `name = "${name}"`,
    `failureDomain = "${failureDomain}"`,
    `seeds = ${JSON.stringify(seeds)}`,
    '[listen]',
    `callers = "${callers}"`,
    `readiness = "${readiness}"`,
    `peers = "${peers}"`,
    `metrics = "${metrics}"`,
    '[store]',
    `address = "${store}"`,
    '[engines]',
    'stallMs = 1000',
    ...(evacuateMs === undefined ? [] : ['[evacuation]', `evacuateMs = ${evacuateMs}`]),
    ...(cold ? ['[coldServers]', `overrun = ${cold.overrun}`, `slack = ${cold.slack}`] : []),
    ...(graceMs === undefined ? [] : ['[stopping]', `graceMs = ${graceMs}`]),
  ].join('\n');
}

/** The processes and stand-ins of one scenario; `close` stops only what it has started. */
export class Site {
  readonly store = new StoreStandIn();
  readonly journal: Arrival[] = [];
  readonly servers: EngineStandIn[] = [];
  readonly gateways: GatewayProcess[] = [];
  private readonly children: ChildProcess[] = [];
  private folder = '';
  private requestCount = 0;
  private plannedCount = 0;

  async open(): Promise<void> {
    await this.store.listen();
    this.folder = await mkdtemp(join(tmpdir(), 'gateway-'));
  }

  configure(options: ExampleOptions = {}): void {
    this.store.put('config', 'main', exampleConfiguration(options));
  }

  async addServer(
    options: Partial<EngineOptions> & { id: string; service: string },
  ): Promise<EngineStandIn> {
    const server = new EngineStandIn({
      zone: HOME_ZONE,
      store: this.store,
      journal: this.journal,
      ...options,
    });
    this.servers.push(server);
    await server.listen();
    return server;
  }

  /** Starts a gateway at new addresses and resolves when it listens. */
  startGateway(): Promise<GatewayProcess> {
    return this.launch(this.planGateway());
  }

  /** Reserves addresses for one more gateway, which may be started repeatedly. */
  planGateway(store = this.store.address): GatewayPlan {
    this.plannedCount += 1;
    const [callers, readiness, peers, metrics] = [
      nextAddress(),
      nextAddress(),
      nextAddress(),
      nextAddress(),
    ];
    return {
      name: `gateway-${this.plannedCount - 1}`,
      failureDomain: HOME_ZONE,
      callers,
      readiness,
      peers,
      metrics,
      store,
      seeds: [],
      readsLog: true,
    };
  }

  async launch(plan: GatewayPlan): Promise<GatewayProcess> {
    const { name, callers, readiness, metrics } = plan;
    const file = join(this.folder, `${name}.toml`);
    await writeFile(file, writeSettings(plan));
    const child = spawn(process.execPath, [PROGRAM, file], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.children.push(child);
    const lines: LogLine[] = [];
    if (plan.readsLog) {
      createInterface({ input: child.stdout }).on('line', (line) => {
        lines.push({ ...(JSON.parse(line) as LogLine), heardAt: performance.now() });
        if (lines.length > MAX_LOG_LINES) lines.splice(0, lines.length - MAX_LOG_LINES);
      });
    }
    const gateway: GatewayProcess = {
      pid: child.pid ?? 0,
      callers,
      readiness,
      metrics,
      lines,
      signal: (signal) => child.kill(signal),
      exited: once(child, 'exit').then(([code]) => code as number | null),
    };
    this.gateways.push(gateway);
    if (plan.readsLog) {
      await waitFor('the gateway to start', () =>
        lines.some(({ name: event }) => event === 'gatewayStarted'),
      );
    }
    return gateway;
  }

  async waitUntilReady(gateway: GatewayProcess): Promise<void> {
    await waitFor('the gateway to be ready', async () => {
      const answer = await this.request(gateway, { path: '/readyz' }, gateway.readiness);
      return answer.status === 200;
    });
  }

  /** The id of the next request, unless its headers set another. */
  nextId(): string {
    return `request-${this.requestCount + 1}`;
  }

  async request(
    gateway: GatewayProcess,
    ask: RequestOptions,
    address = gateway.callers,
  ): Promise<Answer> {
    this.requestCount += 1;
    const [host = '', port = ''] = address.split(':');
    const headers = { ...exampleHeaders(`request-${this.requestCount}`), ...ask.headers };
    const outgoing = httpRequest({
      host,
      port,
      method: ask.method ?? 'GET',
      path: ask.path,
      ...(ask.agent && { agent: ask.agent }),
      headers,
    });
    outgoing.end(ask.body);
    const [incoming] = (await once(outgoing, 'response')) as [IncomingMessage];
    // A connection may be reset between its response and the reading of it.
    outgoing.on('error', () => undefined);
    let body = '';
    try {
      for await (const chunk of incoming) body += String(chunk);
    } catch {
      // An interrupted response is reported by `complete` below.
    }
    return {
      status: incoming.statusCode ?? 0,
      headers: incoming.headers,
      body,
      whole: incoming.complete,
    };
  }

  /** The servers that ran the request `id`. */
  listServersThatRan(id: string): string[] {
    return this.journal
      .filter((arrival) => arrival.id === id && arrival.ran)
      .map(({ server }) => server);
  }

  /** Resolves when exactly `groups` groups are open. */
  async waitForOpenGroups(groups: number): Promise<void> {
    await waitFor(`${groups} open groups`, () => this.listOpen().length === groups);
  }

  listOpen(): EngineStandIn[] {
    return this.servers.filter(({ membership }) => membership?.state === 'open');
  }

  async close(): Promise<void> {
    for (const child of this.children) child.kill('SIGKILL');
    await Promise.all(this.gateways.map(({ exited }) => exited));
    for (const server of this.servers) server.close();
    this.store.close();
    await rm(this.folder, { recursive: true, force: true });
  }
}
