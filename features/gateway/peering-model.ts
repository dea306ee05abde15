/**
 * Simulates gateways that exchange digests, without a network and on a simulated clock.
 */
import {
  applyEvacuationState,
  UNKNOWN_EVACUATIONS,
  type EvacuationState,
  type Evacuations,
} from '../../src/controllers/evacuation/index.js';
import { laterProof, proofAge, type Proof } from '../../src/controllers/freshness/index.js';
import {
  collectReports,
  collectSpeedSources,
  PEERING_TICK_MS,
  PeerTable,
  type Digest,
} from '../../src/controllers/peering/index.js';
import { ServerSpeeds } from '../../src/controllers/speed/index.js';
import type { RequestReport } from '../../src/controllers/quarantine/index.js';

/** A simulated gateway. */
export class ModelGateway {
  table: PeerTable;
  isAlive = true;
  exchanges = 0;
  /** Names of the gateways that it can't reach and that can't reach it. */
  readonly unreachable = new Set<string>();
  storeReachable = true;
  /** The request reports that it includes in its digests. */
  reports: RequestReport[] = [];
  /** What it knows of evacuations, which its digests carry once it is known. */
  evacuations: Evacuations = UNKNOWN_EVACUATIONS;
  evacuationProof: Proof | undefined;
  /** Called with evacuations that have begun or ended. */
  onEvacuations: ((state: EvacuationState) => void) | undefined;
  /** Called with each digest that it has applied. */
  onDigest: ((digest: Digest) => void) | undefined;
  /** Servers that other gateways reported to have ended while handling a request. */
  readonly reportedServerEnds = new Set<string>();
  readonly speeds = new ServerSpeeds();
  private incarnation = 0;

  constructor(
    readonly name: string,
    readonly failureDomain: string,
    readonly load: [string, number][],
  ) {
    this.table = new PeerTable(this.location);
  }

  get location(): { name: string; address: string; failureDomain: string } {
    const { name, failureDomain } = this;
    return { name, address: `at-${name}`, failureDomain };
  }

  /** Restarts the gateway with a new incarnation that knows only `seeds`. */
  restart(seeds: readonly ModelGateway[], now: number): void {
    this.incarnation += 1;
    this.isAlive = true;
    this.table = new PeerTable(this.location);
    for (const { location } of seeds) this.table.addPeer(location, now);
  }

  createDigest(now = 0): Digest {
    const speeds = this.speeds.report(now);
    return {
      ...this.location,
      incarnation: String(this.incarnation),
      storeReachable: this.storeReachable,
      stopping: false,
      hasServed: true,
      configurationVersion: 1,
      fleetRevision: 1,
      load: this.load,
      suspicions: [],
      ...(this.reports.length > 0 && { reports: this.reports }),
      ...(speeds.length > 0 && { speeds }),
    };
  }

  applyEvacuations(state: EvacuationState, now: number): void {
    const before = this.evacuations;
    this.evacuations = applyEvacuationState(before, state, now);
    if (this.evacuations === before) return;
    if ([...before.domains].join() !== [...this.evacuations.domains].join())
      this.onEvacuations?.(state);
  }

  /** Accepts the proof in the answer to a digest that was sent at `now`. */
  acceptProof({ evacuations }: Digest, now: number): void {
    if (evacuations?.ageMs === undefined || evacuations.revision > this.evacuations.revision)
      return;
    const offered = { at: now - evacuations.ageMs, source: 'peer' } as const;
    this.evacuationProof = laterProof(this.evacuationProof, offered);
  }

  applyDigest(digest: Digest, now: number): void {
    if (digest.evacuations) this.applyEvacuations(digest.evacuations, now);
    this.table.applyDigest(digest, now);
    for (const { source, reports } of collectSpeedSources(digest))
      this.speeds.adopt(source, reports, now);
    for (const report of collectReports(digest)) {
      if (report.kind === 'serverEnded') this.reportedServerEnds.add(report.server);
    }
    this.onDigest?.(digest);
  }

  /** The own digest with domain summaries. */
  createExchangeDigest(now: number, caller?: Digest): Digest {
    const { source, revision, domains } = this.evacuations;
    const ageMs = proofAge(this.evacuationProof, now);
    const evacuations = { revision, domains: [...domains], ...(ageMs !== undefined && { ageMs }) };
    const own = { ...this.createDigest(now), ...(source === 'known' && { evacuations }) };
    return { ...own, summaries: this.table.listSummaries(own, now, caller) };
  }
}

/** A simulated fleet with a shared clock. */
export class PeeringModel {
  now = 0;
  readonly gateways: ModelGateway[] = [];

  constructor(
    domains: number,
    size: number,
    create: (...location: ConstructorParameters<typeof ModelGateway>) => ModelGateway = (
      ...location
    ) => new ModelGateway(...location),
  ) {
    for (let index = 0; index < domains * size; index += 1) {
      const domain = `domain-${index % domains}`;
      const load: [string, number][] = [[`server-${index % 7}`, 1 + (index % 3)]];
      this.gateways.push(create(`gateway-${index}`, domain, load));
    }
    for (const gateway of this.gateways) gateway.restart(this.gateways, 0);
  }

  get alive(): ModelGateway[] {
    return this.gateways.filter(({ isAlive }) => isAlive);
  }

  /** Advances the clock by `ms`. */
  run(ms: number): void {
    const until = this.now + ms;
    while (this.now < until) {
      this.now += PEERING_TICK_MS;
      for (const gateway of this.alive) gateway.table.removeTimedOut(this.now);
      for (const gateway of this.alive) this.runDueExchanges(gateway);
    }
  }

  private runDueExchanges(gateway: ModelGateway): void {
    for (const { name } of gateway.table.listDuePeers(this.now)) {
      const other = this.gateways.find((each) => each.name === name);
      if (!other?.isAlive || gateway.unreachable.has(name) || other.unreachable.has(gateway.name))
        continue;
      gateway.exchanges += 1;
      other.exchanges += 1;
      const digest = gateway.createExchangeDigest(this.now);
      other.applyDigest(digest, this.now);
      const answer = other.createExchangeDigest(this.now, digest);
      gateway.applyDigest(answer, this.now);
      gateway.acceptProof(answer, this.now);
    }
  }

  /** Names of the peers that `gateway` considers alive. */
  listAlivePeers({ table }: ModelGateway): string[] {
    return [...table.listAlive(this.now).keys()].sort();
  }

  hubsOf(domain: string): string[] {
    return this.alive
      .filter(({ failureDomain, table }) => failureDomain === domain && table.isHub())
      .map(({ name }) => name);
  }
}
