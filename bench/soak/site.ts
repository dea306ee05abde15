/**
 * The processes and stand-ins of one run, with a proxy before each engine and before the store of
 * each gateway.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { createProxy, type Proxy } from '../../src/stand-ins/proxy/index.js';
import { GatewayLinks } from '../../features/gateway/gateway-links.js';
import { Site, type GatewayPlan, type GatewayProcess } from '../../features/gateway/site.js';
import type { CrashingPart, EngineStandIn } from '../../features/gateway/stand-ins/engine.js';
import { waitFor } from '../../features/support/waiting.js';

/** One gateway over all its lives. */
export interface SoakGateway {
  plan: GatewayPlan;
  process: GatewayProcess;
  /** What its former processes logged. */
  formerLines: object[];
  storeLink: Proxy;
  /** Ends that nobody asked for, with their exit codes. */
  ownExits: (number | null)[];
  /** It was told to end, and is not up again. */
  isAway: boolean;
}

/** One backend server over one life. */
export interface SoakServer {
  standIn: EngineStandIn;
  link: Proxy;
}

const ENGINES = 8;
const PLAIN_SERVERS = 3;
/** Events of each stream. */
export const EVENTS = 20;
const GAP_MS = 25;
const PLAIN_MS = 20;
/** A crashed server's entry stays this long. */
const LAPSE_MS = 900;
const RESTART_MS = 300;
const STAGE_MS = 250;
/** Within this time after a restore all entries are written again. */
const REWRITE_MS = 1_500;

/** Everything of one run; `close` ends just what it started. */
export class SoakSite {
  readonly site = new Site();
  readonly gateways: SoakGateway[] = [];
  readonly breaches: string[] = [];
  /** When loads of weights have begun, at all engines. */
  readonly loadTimes: number[] = [];
  servers: SoakServer[] = [];
  /** Gets most new connections of callers. */
  favoured: SoakGateway | undefined;
  /** Under which all engines crash, if any. */
  crashingPart: CrashingPart | undefined;
  readonly keys = ['key-1'];
  /** When the configuration with a key was written. */
  readonly keyTimes = new Map<string, number>();
  /** Of each gateway to all servers; none if all gateways share the servers' links. */
  readonly links: readonly GatewayLinks[];
  private readonly fleet = new Map<string, EngineStandIn>();
  private readonly proxies: Proxy[] = [];
  private version = 2;
  private added = 0;

  /** With `linkedGateways`, so many gateways have links of their own to the servers. */
  constructor(linkedGateways = 0) {
    this.links = Array.from({ length: linkedGateways }, () => new GatewayLinks());
  }

  async open(gateways: number): Promise<void> {
    await this.site.open();
    this.site.configure({ keys: this.keys });
    for (let index = 0; index < ENGINES; index += 1) await this.addServer(`fabric-${index % 2}`);
    for (let index = 0; index < PLAIN_SERVERS; index += 1) await this.addServer();
    for (let index = 0; index < gateways; index += 1) await this.addGateway();
    for (const { process } of this.gateways) await this.site.waitUntilReady(process);
    await waitFor('replicas to open', () => this.site.listOpen().length >= ENGINES / 2);
  }

  private async addGateway(): Promise<void> {
    const own = this.links[this.gateways.length];
    const store = own ? await own.openView(this.site.store) : this.site.store.address;
    const storeLink = await this.openLink(store);
    const plan = this.site.planGateway(storeLink.address);
    if (own) plan.failureDomain = `${plan.failureDomain}-${plan.name}`;
    plan.seeds = this.gateways.map((gateway) => gateway.plan.peers);
    const process = await this.site.launch(plan);
    const gateway = {
      plan,
      process,
      formerLines: [],
      storeLink,
      isAway: false,
      ownExits: [],
    };
    this.gateways.push(gateway);
    this.watchExit(gateway);
  }

  private watchExit(gateway: SoakGateway): void {
    const { process } = gateway;
    void process.exited.then((code) => {
      if (gateway.process === process && !gateway.isAway) gateway.ownExits.push(code);
    });
  }

  /** Ends a gateway by `signal` and starts it again at the same addresses. */
  async restart(gateway: SoakGateway, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    if (gateway.isAway) return;
    gateway.isAway = true;
    gateway.process.signal('SIGCONT');
    gateway.process.signal(signal);
    await gateway.process.exited;
    gateway.formerLines.push(...gateway.process.lines);
    await sleep(RESTART_MS);
    gateway.process = await this.site.launch(gateway.plan);
    gateway.isAway = false;
    this.watchExit(gateway);
  }

  async addServer(domain?: string): Promise<void> {
    this.added += 1;
    let link: Proxy | undefined;
    const standIn = await this.site.addServer({
      id: `server-${this.added}`,
      service: domain ? 'models' : 'app',
      ...(domain && { domain }),
      events: EVENTS,
      gapMs: domain ? GAP_MS : PLAIN_MS,
      fleet: this.fleet,
      breaches: this.breaches,
      loadTimes: this.loadTimes,
      stageMs: STAGE_MS,
      advertised: async (address) => {
        link = await this.openLink(address);
        for (const links of this.links) await links.add(link.address, domain ? 'models' : 'app');
        return link.address;
      },
    });
    if (domain) standIn.crashingPart = this.crashingPart;
    this.fleet.set(standIn.options.id, standIn);
    if (link) this.servers.push({ standIn, link });
  }

  /** The server ends without a word; another one of its kind comes soon. */
  async crash(server: SoakServer): Promise<void> {
    const { id, domain } = server.standIn.options;
    this.servers = this.servers.filter((each) => each !== server);
    server.standIn.close();
    await sleep(LAPSE_MS);
    this.site.store.remove('servers', id);
    await this.addServer(domain);
  }

  /** The server says that it leaves, serves on for `forMs` and ends. */
  async drain(server: SoakServer, forMs: number): Promise<void> {
    const { id, domain } = server.standIn.options;
    this.servers = this.servers.filter((each) => each !== server);
    server.standIn.drain();
    await this.addServer(domain);
    await sleep(forMs);
    this.site.store.remove('servers', id);
    server.standIn.close();
  }

  /** A new version replaces the callers' key; the old one is taken away. */
  changeKey(): void {
    this.version += 1;
    this.keys.push(`key-${this.version}`);
    this.writeConfiguration();
    this.keyTimes.set(`key-${this.version}`, performance.now());
  }

  /**
   * The store is away for `awayMs` and comes back from a copy that was made `copyAgeMs` before. The
   * operator and the servers write again what they wrote, one after the other.
   */
  async restoreStore(copyAgeMs: number, awayMs: number): Promise<void> {
    const { store } = this.site;
    store.saveCopy();
    await sleep(copyAgeMs);
    store.fault = 'down';
    await sleep(awayMs);
    store.restoreCopy();
    store.fault = 'none';
    const { servers } = this.site;
    for (const server of [...servers]) {
      await sleep(REWRITE_MS / servers.length);
      if (server.hasCrashed) store.remove('servers', server.options.id);
      else server.report();
    }
    if (this.keys.length > 1) this.writeConfiguration();
  }

  private writeConfiguration(): void {
    this.site.configure({ version: this.version, keys: this.keys.slice(-1) });
  }

  async close(): Promise<void> {
    for (const gateway of this.gateways) gateway.isAway = true;
    await this.site.close();
    await Promise.all(this.proxies.map((link) => link.stop()));
    await Promise.all(this.links.map((links) => links.close()));
  }

  private async openLink(target: string): Promise<Proxy> {
    const created = await createProxy({ listen: '127.0.0.1:0', target });
    if (created.isErr()) throw new Error(created.error.message);
    this.proxies.push(created.value);
    return created.value;
  }
}
