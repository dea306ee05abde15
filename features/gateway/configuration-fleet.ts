/**
 * Simulates how a change of the configuration reaches the gateways of a fleet, with lost messages, on a
 * simulated clock. Membership, proofs, and from whom to fetch are decided by the parts of the program.
 */
import {
  computeProofBounds,
  laterProof,
  type Proof,
} from '../../src/controllers/freshness/index.js';
import { PEERING_TICK_MS, PeerTable, type Digest } from '../../src/controllers/peering/index.js';
import {
  MAX_SENDINGS,
  ProofQuestions,
  REPEAT_AFTER_MS,
  VersionPursuit,
} from '../../src/controllers/propagation/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';

/** Which of a change's recipients is observed, and what else goes wrong. */
export type Way =
  | 'the hub'
  | 'a member'
  | 'a member without a store'
  | 'a member of a domain without a store'
  | 'a member whose hub dies'
  | 'a gateway that starts';

export interface FleetPlan {
  gateways: number;
  domains: number;
  boundMs: number;
  way: Way;
  /** Messages in a row that are lost of those that would bring the change to the observed gateway. */
  losses: number;
  seed: number;
}

const LATENCY_MS = 3;
const READ_TIMEOUT_MS = 1_500;
const HUB_RETRY_MS = 400;
const OWN_RETRY_MS = 600;
const MIN_FOLLOW_MS = 1_000;
const SETTLE_MS = 8_000;
const FIRST_VERSION = 1;

interface ScheduledEvent {
  at: number;
  run: () => void;
}

class FleetGateway {
  table: PeerTable;
  pursuit: VersionPursuit;
  questions: ProofQuestions;
  version = FIRST_VERSION;
  proof: Proof | undefined;
  isAlive = true;
  isStoreLost = false;
  followUntil = Number.NEGATIVE_INFINITY;
  isFollowing = false;
  /** Its watch of the store would bring the next change. */
  isWatchSound = false;
  pollSentAt = Number.NEGATIVE_INFINITY;

  constructor(
    readonly name: string,
    readonly failureDomain: string,
    private readonly minReadIntervalMs: number,
  ) {
    this.table = new PeerTable(this.location);
    this.pursuit = new VersionPursuit(minReadIntervalMs);
    this.questions = new ProofQuestions(failureDomain);
  }

  get location(): { name: string; address: string; failureDomain: string } {
    return { name: this.name, address: this.name, failureDomain: this.failureDomain };
  }

  restart(seeds: readonly FleetGateway[], now: number): void {
    this.table = new PeerTable(this.location);
    this.pursuit = new VersionPursuit(this.minReadIntervalMs);
    this.questions = new ProofQuestions(this.failureDomain);
    this.version = 0;
    this.proof = undefined;
    this.isFollowing = false;
    this.isAlive = true;
    for (const { location } of seeds) this.table.addPeer(location, now);
  }
}

/** One fleet through one change. */
export class ConfigurationFleet {
  private now = 0;
  private readonly queue: ScheduledEvent[] = [];
  private readonly random: Random;
  private readonly gateways: FleetGateway[] = [];
  private readonly byName = new Map<string, FleetGateway>();
  private readonly bounds: ReturnType<typeof computeProofBounds>;
  private storeVersion = FIRST_VERSION;
  private observed: FleetGateway | undefined;
  private lossesLeft = 0;

  constructor(private readonly plan: FleetPlan) {
    this.random = createRandom(plan.seed);
    this.bounds = computeProofBounds(plan.boundMs);
    for (let index = 0; index < plan.gateways; index += 1) {
      const domain = `domain-${index % plan.domains}`;
      const gateway = new FleetGateway(`g-${index}`, domain, this.bounds.minReadIntervalMs);
      this.gateways.push(gateway);
      this.byName.set(gateway.name, gateway);
    }
    for (const gateway of this.gateways) {
      for (const other of this.gateways) gateway.table.addPeer(other.location, 0);
      this.schedule(this.random.below(PEERING_TICK_MS), () => {
        this.tick(gateway);
      });
    }
  }

  /** Time from the change until the observed gateway has it, and until all have it. */
  run(): { observedMs: number; allMs: number } {
    this.advance(SETTLE_MS + this.random.below(2_000));
    this.prepare();
    this.advance(this.random.below(this.plan.boundMs));
    const changedAt = this.now;
    this.storeVersion += 1;
    this.lossesLeft = this.plan.losses;
    if (this.plan.way === 'a member whose hub dies') this.killHub();
    if (this.plan.way === 'a gateway that starts')
      this.observed?.restart(this.gateways.slice(0, 3), this.now);
    for (const gateway of this.gateways) if (gateway.isWatchSound) this.sendWatchEvent(gateway);
    const times = new Map<FleetGateway, number>();
    while (this.now - changedAt < 4 * this.plan.boundMs && times.size < this.gateways.length) {
      this.advance(10);
      for (const gateway of this.gateways)
        if (!times.has(gateway) && (!gateway.isAlive || gateway.version === this.storeVersion))
          times.set(gateway, this.now - changedAt);
    }
    const timeOf = (gateway: FleetGateway): number => times.get(gateway) ?? Infinity;
    return {
      observedMs: this.observed ? timeOf(this.observed) : Infinity,
      allMs: Math.max(...this.gateways.map(timeOf)),
    };
  }

  private prepare(): void {
    const { way } = this.plan;
    const hubs = this.gateways.filter(({ table }) => table.isHub());
    const members = this.gateways.filter(({ table }) => !table.isHub());
    const pool = way === 'the hub' ? hubs : members;
    const observed = pool[this.random.below(pool.length)];
    this.observed = observed;
    if (observed === undefined) return;
    if (way === 'a member without a store') this.loseStore(observed);
    if (way === 'a member of a domain without a store')
      for (const gateway of this.gateways)
        if (gateway.failureDomain === observed.failureDomain) this.loseStore(gateway);
  }

  private loseStore(gateway: FleetGateway): void {
    gateway.isStoreLost = true;
    gateway.isWatchSound = false;
  }

  private killHub(): void {
    const hub = this.gateways.find(
      ({ failureDomain, table }) => failureDomain === this.observed?.failureDomain && table.isHub(),
    );
    if (hub) hub.isAlive = false;
  }

  // --- events ---

  private schedule(afterMs: number, run: () => void): void {
    const event = { at: this.now + afterMs, run };
    let index = this.queue.length;
    while (index > 0 && (this.queue[index - 1]?.at ?? 0) < event.at) index -= 1;
    this.queue.splice(index, 0, event);
  }

  private advance(ms: number): void {
    const until = this.now + ms;
    for (let next = this.queue.at(-1); next && next.at <= until; next = this.queue.at(-1)) {
      this.queue.pop();
      this.now = next.at;
      next.run();
    }
    this.now = until;
  }

  /** Whether a message that tells `receiver` of the current version is lost. */
  private isLost(receiver: FleetGateway, version: number): boolean {
    const isNews = version === this.storeVersion && receiver.version < version;
    if (receiver !== this.observed || !isNews || this.lossesLeft === 0) return false;
    this.lossesLeft -= 1;
    return true;
  }

  private deliver(receiver: FleetGateway, version: number, run: () => void): void {
    if (this.isLost(receiver, version)) return;
    this.schedule(LATENCY_MS, () => {
      if (receiver.isAlive) run();
    });
  }

  // --- one gateway ---

  private tick(gateway: FleetGateway): void {
    this.schedule(PEERING_TICK_MS, () => {
      this.tick(gateway);
    });
    if (!gateway.isAlive) return;
    gateway.table.removeTimedOut(this.now);
    for (const { name } of gateway.table.listDuePeers(this.now)) this.exchange(gateway, name);
    this.updateFollowing(gateway);
    this.pursue(gateway);
    this.askForProof(gateway);
  }

  private digestOf(gateway: FleetGateway, caller?: Digest): Digest {
    const { proof, version } = gateway;
    const own: Digest = {
      ...gateway.location,
      incarnation: '1',
      storeReachable: !gateway.isStoreLost,
      stopping: false,
      hasServed: true,
      configurationVersion: version,
      fleetRevision: 1,
      load: [],
      suspicions: [],
      ...(proof && { configurationAgeMs: this.now - proof.at }),
    };
    return { ...own, summaries: gateway.table.listSummaries(own, this.now, caller) };
  }

  private exchange(gateway: FleetGateway, name: string): void {
    const other = this.byName.get(name);
    if (!other?.isAlive) return;
    const sentAt = this.now;
    const digest = this.digestOf(gateway);
    this.deliver(other, digest.configurationVersion, () => {
      this.receiveDigest(other, digest);
      const answer = this.digestOf(other, digest);
      this.deliver(gateway, answer.configurationVersion, () => {
        this.receiveDigest(gateway, answer);
        this.recordProof(gateway, answer, sentAt);
      });
    });
  }

  private receiveDigest(gateway: FleetGateway, digest: Digest): void {
    gateway.table.applyDigest(digest, this.now);
    this.noteVersion(gateway, digest.configurationVersion, digest.name);
  }

  private recordProof(
    gateway: FleetGateway,
    { configurationVersion, configurationAgeMs }: Digest,
    sentAt: number,
  ): void {
    if (configurationAgeMs === undefined || configurationVersion > gateway.version) return;
    const offered: Proof = { at: sentAt - configurationAgeMs, source: 'peer' };
    gateway.proof = laterProof(gateway.proof, offered);
  }

  private noteVersion(gateway: FleetGateway, version: number, holder: string): void {
    if (version <= gateway.version) return;
    gateway.pursuit.observe(version, holder);
    this.pursue(gateway);
  }

  private apply(gateway: FleetGateway, version: number, source: 'store' | 'peer'): void {
    if (version <= gateway.version) return;
    const before = gateway.version;
    gateway.version = version;
    if (!gateway.table.isHub()) return;
    const peers = [
      ...gateway.table.listDomainPeers(),
      ...(source === 'store' ? gateway.table.listOtherHubs() : []),
    ];
    for (const { name } of peers) this.sendNotice(gateway, name, before, MAX_SENDINGS);
  }

  private sendNotice(sender: FleetGateway, name: string, since: number, left: number): void {
    const receiver = this.byName.get(name);
    if (!receiver || left === 0 || !sender.isAlive) return;
    const { version } = sender;
    let isConfirmed = false;
    this.deliver(receiver, version, () => {
      isConfirmed = true;
      if (receiver.version === since) this.apply(receiver, version, 'peer');
      else this.noteVersion(receiver, version, sender.name);
    });
    this.schedule(REPEAT_AFTER_MS, () => {
      if (!isConfirmed) this.sendNotice(sender, name, since, left - 1);
    });
  }

  private pursue(gateway: FleetGateway): void {
    const step = gateway.pursuit.next(this.now, gateway.version, !gateway.isStoreLost);
    switch (step?.kind) {
      case 'readStore':
        this.callStore(gateway);
        break;
      case 'askPeer':
        this.fetchFrom(gateway, step.peer);
        break;
      case undefined:
    }
  }

  private fetchFrom(gateway: FleetGateway, name: string): void {
    const other = this.byName.get(name);
    this.schedule(LATENCY_MS, () => {
      if (!other?.isAlive) return;
      const { version } = other;
      this.deliver(gateway, version, () => {
        this.apply(gateway, version, 'peer');
      });
    });
  }

  private askForProof(gateway: FleetGateway): void {
    const ageMs = gateway.proof ? this.now - gateway.proof.at : Infinity;
    const isOld = ageMs > this.bounds.askAfterMs(gateway.table.hubInterval());
    const peers = gateway.table.listAlive(this.now).values();
    const peer = gateway.questions.next(this.now, isOld, peers, this.random);
    const other = peer && this.byName.get(peer.name);
    if (!other) return;
    const sentAt = this.now;
    this.schedule(LATENCY_MS, () => {
      if (!other.isAlive) return;
      const answer = this.digestOf(other);
      this.deliver(gateway, answer.configurationVersion, () => {
        this.recordProof(gateway, answer, sentAt);
        this.noteVersion(gateway, answer.configurationVersion, other.name);
      });
    });
  }

  // --- the store ---

  private updateFollowing(gateway: FleetGateway): void {
    const { table } = gateway;
    const ageMs = gateway.proof ? this.now - gateway.proof.at : Infinity;
    const isStale = ageMs > this.bounds.fallbackAfterMs(table.hubInterval());
    if (table.hubStatus(this.now) !== 'trusted' || isStale)
      gateway.followUntil = this.now + MIN_FOLLOW_MS;
    const wasFollowing = gateway.isFollowing;
    gateway.isFollowing = table.isHub() || this.now < gateway.followUntil;
    if (!gateway.isFollowing) gateway.isWatchSound = false;
    const isPollDue = ageMs > this.bounds.recheckAfterMs || !wasFollowing;
    const retryMs = table.isHub() ? HUB_RETRY_MS : OWN_RETRY_MS;
    const isAnswerDue = this.now - gateway.pollSentAt < retryMs;
    if (gateway.isFollowing && isPollDue && (!isAnswerDue || !wasFollowing)) {
      gateway.pollSentAt = this.now;
      this.callStore(gateway);
    }
  }

  /** A read, list or poll; the answer brings the version of the moment. */
  private callStore(gateway: FleetGateway): void {
    if (gateway.isStoreLost) return;
    const sentAt = this.now;
    this.schedule(LATENCY_MS, () => {
      const version = this.storeVersion;
      this.deliver(gateway, version, () => {
        if (this.now - sentAt > READ_TIMEOUT_MS) return;
        gateway.proof = laterProof(gateway.proof, { at: sentAt, source: 'store' });
        if (gateway.isFollowing) gateway.isWatchSound = true;
        this.apply(gateway, version, 'store');
      });
    });
  }

  private sendWatchEvent(gateway: FleetGateway): void {
    const version = this.storeVersion;
    if (this.isLost(gateway, version)) {
      gateway.isWatchSound = false;
      return;
    }
    this.deliver(gateway, version, () => {
      this.apply(gateway, version, 'store');
    });
  }
}
