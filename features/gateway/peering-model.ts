/**
 * Gateways that exchange digests in a simulated time, without sockets.
 */
import {
  collectReports,
  PEERING_TICK_MS,
  PeerTable,
  type Digest,
} from '../../src/controllers/peering/index.js';
import type { RequestReport } from '../../src/controllers/quarantine/index.js';

/** One gateway of the model. */
export class ModelGateway {
  table: PeerTable;
  isAlive = true;
  exchanges = 0;
  /** Names of those it can't reach, and that can't reach it. */
  readonly cutFrom = new Set<string>();
  storeReachable = true;
  /** What it tells of requests under which servers ended. */
  reports: RequestReport[] = [];
  /** Servers that it knows to have ended under requests. */
  readonly endsHeard = new Set<string>();
  private life = 0;

  constructor(
    readonly name: string,
    readonly failureDomain: string,
    readonly load: [string, number][],
  ) {
    this.table = new PeerTable(this.place);
  }

  get place(): { name: string; address: string; failureDomain: string } {
    const { name, failureDomain } = this;
    return { name, address: `at-${name}`, failureDomain };
  }

  /** A new life that knows only `seeds`. */
  restart(seeds: readonly ModelGateway[], now: number): void {
    this.life += 1;
    this.isAlive = true;
    this.table = new PeerTable(this.place);
    for (const { place } of seeds) this.table.learn(place, now);
  }

  digest(): Digest {
    return {
      ...this.place,
      incarnation: String(this.life),
      storeReachable: this.storeReachable,
      stopping: false,
      hasServed: true,
      configurationVersion: 1,
      fleetRevision: 1,
      load: this.load,
      suspicions: [],
      ...(this.reports.length > 0 && { reports: this.reports }),
    };
  }

  take(digest: Digest, now: number): void {
    this.table.take(digest, now);
    for (const report of collectReports(digest)) {
      if (report.kind === 'serverEnded') this.endsHeard.add(report.server);
    }
  }

  /** The digest with what it tells of others. */
  answer(now: number, caller?: Digest): Digest {
    const own = this.digest();
    return { ...own, summaries: this.table.listSummaries(own, now, caller) };
  }
}

/** All gateways of one run, all with one clock. */
export class PeeringModel {
  now = 0;
  readonly gateways: ModelGateway[] = [];

  constructor(domains: number, size: number) {
    for (let index = 0; index < domains * size; index += 1) {
      const domain = `domain-${index % domains}`;
      const load: [string, number][] = [[`server-${index % 7}`, 1 + (index % 3)]];
      this.gateways.push(new ModelGateway(`gateway-${index}`, domain, load));
    }
    for (const gateway of this.gateways) gateway.restart(this.gateways, 0);
  }

  get living(): ModelGateway[] {
    return this.gateways.filter(({ isAlive }) => isAlive);
  }

  /** Lets `ms` pass. */
  run(ms: number): void {
    const until = this.now + ms;
    while (this.now < until) {
      this.now += PEERING_TICK_MS;
      for (const gateway of this.living) gateway.table.dropSilent(this.now);
      for (const gateway of this.living) this.call(gateway);
    }
  }

  private call(gateway: ModelGateway): void {
    for (const { name } of gateway.table.listDue(this.now)) {
      const other = this.gateways.find((each) => each.name === name);
      if (!other?.isAlive || gateway.cutFrom.has(name) || other.cutFrom.has(gateway.name)) continue;
      gateway.exchanges += 1;
      other.exchanges += 1;
      const digest = gateway.answer(this.now);
      other.take(digest, this.now);
      gateway.take(other.answer(this.now, digest), this.now);
    }
  }

  /** The names of those that `gateway` holds for alive. */
  aliveAt({ table }: ModelGateway): string[] {
    return [...table.listAlive(this.now).keys()].sort();
  }

  hubsOf(domain: string): string[] {
    return this.living
      .filter(({ failureDomain, table }) => failureDomain === domain && table.isHub())
      .map(({ name }) => name);
  }
}
