/**
 * Simulates a fleet whose engines crash under one part of prompts, without a network and on a simulated
 * clock: gateways decide by their own tables and tell each other over the exchanges of the fleet.
 */
import {
  addressQuarantineNews,
  collectReports,
  PEERING_TICK_MS,
  type Digest,
  type QuarantineNews,
} from '../../src/controllers/peering/index.js';
import {
  partFingerprint,
  QuarantineTable,
  type QuarantineNotice,
} from '../../src/controllers/quarantine/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';
import { ModelGateway, PeeringModel } from './peering-model.js';

/** What happens in one simulated fleet. */
export interface FleetPlan {
  seed: number;
  domains: number;
  size: number;
  /** Requests with the crashing part, and sound ones, a second over the whole fleet. */
  crashingPerSecond: number;
  soundPerSecond: number;
  /** Number of parts that sound and crashing requests draw from beside the common one. */
  otherParts: number;
  /** Whether the crashing part was answered before it began to crash engines. */
  wasSound: boolean;
  /** Whether all sound requests are the same one, sent again and again. */
  isSoundRepeated: boolean;
  /** Engines that crash for another reason, a second over the whole fleet. */
  otherCrashesPerSecond: number;
  /** Gateways that restart, freeze or lose their peers, a second. */
  disturbancesPerSecond: number;
}

/** What a simulated fleet showed. */
export interface FleetResult {
  crashes: number;
  /** Sendings with the part by gateways in touch, later than the tolerance after the fifth crash. */
  lateSendings: number;
  sound: { before: SoundCount; after: SoundCount };
  /** Whether any sound request was held at the end. */
  heldSoundAtEnd: number;
}

interface SoundCount {
  sent: number;
  held: number;
}

interface RunningRequest {
  gateway: QuarantineGateway;
  fingerprints: readonly string[];
  isCrashing: boolean;
  hasRetry: boolean;
  server: string;
  begunAt: number;
  endsAt: number;
}

interface Engine {
  name: string;
  backAt: number;
}

const STEP_MS = 10;
const COMMON_PART = partFingerprint('aa');
const REPEATED_REQUEST = ['repeated', COMMON_PART, partFingerprint('c0')];
const CRASHING_PART = partFingerprint('bad0');
const TOLERANCE_MS = 3_000;
const ALLOWED_CRASHES = 5;
const WARM_UP_MS = 9_000;
const CRASHING_FOR_MS = 14_000;
/** Sound requests are counted from twice the tolerance after the fifth crash. */
const SOUND_AFTER_MS = 2 * TOLERANCE_MS;
const ENGINES_PER_GATEWAY = 4;
const MOST_ENGINES = 200;
const WAIT_MS = { shortest: 80, spread: 300 };
const CRASH_AFTER_MS = { shortest: 40, spread: 100 };
const ANSWER_MS = { shortest: 300, spread: 1_300 };
const RESTART_MS = { shortest: 2_000, spread: 2_000 };
const PROBE_MS = { shortest: 10, spread: 60 };
const MESSAGE_MS = { shortest: 2, spread: 40 };
const DISTURBANCE_MS = { shortest: 300, spread: 2_500 };

interface Span {
  shortest: number;
  spread: number;
}

/** A gateway with its own quarantine table. */
class QuarantineGateway extends ModelGateway {
  quarantine = new QuarantineTable();
  /** When it was last disturbed; it counts as in touch some time after that. */
  disturbedUntil = Number.NEGATIVE_INFINITY;
  isFrozen = false;

  override createDigest(now = 0): Digest {
    const reports = this.quarantine.listOwnReports(now);
    const quarantined = this.quarantine.listQuarantined(now);
    return {
      ...super.createDigest(now),
      ...(reports.length > 0 && { reports }),
      ...(quarantined.length > 0 && { quarantined }),
    };
  }

  mergeNews({ reports, quarantined }: QuarantineNews, now: number): QuarantineNews {
    const { started, fresh } = this.quarantine.applyNews(reports, quarantined, now);
    return { reports: fresh, quarantined: this.quarantine.listAmong(started, now) };
  }

  isInTouch(now: number): boolean {
    return now - this.disturbedUntil >= TOLERANCE_MS;
  }
}

/** One fleet from its start to the end of the crashing requests. */
export class QuarantineFleet extends PeeringModel {
  private readonly random: Random;
  private readonly running = new Set<RunningRequest>();
  private readonly engines: Engine[] = [];
  private readonly crashTimes: number[] = [];
  private readonly crashingSendings: { at: number; isInTouch: boolean }[] = [];
  private readonly soundSendings: { at: number; isHeld: boolean }[] = [];
  private readonly timers: { at: number; run: () => void }[] = [];
  /** Quarantines in the store, by the gateway that wrote them, with the time of their end. */
  private readonly stored = new Map<string, { notices: QuarantineNotice[]; at: number }>();
  private sentCount = 0;

  constructor(private readonly plan: FleetPlan) {
    super(plan.domains, plan.size, (...location) => new QuarantineGateway(...location));
    this.random = createRandom(plan.seed);
    const count = Math.min(MOST_ENGINES, ENGINES_PER_GATEWAY * this.gateways.length);
    for (let index = 0; index < count; index += 1)
      this.engines.push({ name: `engine-${index}`, backAt: 0 });
    for (const gateway of this.members)
      gateway.onDigest = (digest) => {
        this.applyDigest(gateway, digest);
      };
  }

  play(): FleetResult {
    this.runFor(WARM_UP_MS);
    this.runFor(CRASHING_FOR_MS);
    const fifth = this.crashTimes[ALLOWED_CRASHES - 1] ?? this.crashTimes.at(-1) ?? this.now;
    const late = this.crashingSendings.filter(
      ({ at, isInTouch }) => isInTouch && at > fifth + TOLERANCE_MS,
    );
    const count = (from: number, until: number): SoundCount => {
      const sent = this.soundSendings.filter(({ at }) => at >= from && at < until);
      return { sent: sent.length, held: sent.filter(({ isHeld }) => isHeld).length };
    };
    return {
      crashes: this.crashTimes.length,
      lateSendings: late.length,
      sound: {
        before: count(0, WARM_UP_MS),
        after: count(fifth + SOUND_AFTER_MS, this.now),
      },
      heldSoundAtEnd: this.countHeldSound(),
    };
  }

  private get members(): QuarantineGateway[] {
    return this.gateways.filter((each) => each instanceof QuarantineGateway);
  }

  private runFor(ms: number): void {
    const { crashingPerSecond, soundPerSecond, disturbancesPerSecond } = this.plan;
    const { otherCrashesPerSecond } = this.plan;
    const until = this.now + ms;
    while (this.now < until) {
      this.now += STEP_MS;
      if (this.now % PEERING_TICK_MS === 0) this.exchangeDue();
      this.runTimers();
      this.advanceRequests();
      const isCrashing = this.now >= WARM_UP_MS;
      if (this.isDue(soundPerSecond)) this.arrive(this.drawSound());
      if (this.isDue(isCrashing || this.plan.wasSound ? crashingPerSecond : 0))
        this.arrive(this.drawCrashing());
      if (this.isDue(disturbancesPerSecond)) this.disturb();
      if (isCrashing && otherCrashesPerSecond > 0 && this.isDue(otherCrashesPerSecond))
        this.crash(this.pick(this.engines).name);
    }
  }

  private exchangeDue(): void {
    this.now -= PEERING_TICK_MS;
    super.run(PEERING_TICK_MS);
  }

  private isDue(perSecond: number): boolean {
    return this.random.fraction() < (perSecond * STEP_MS) / 1_000;
  }

  private draw({ shortest, spread }: Span): number {
    return shortest + this.random.fraction() * spread;
  }

  private pick<Value>(values: readonly Value[]): Value {
    const value = values[this.random.below(values.length)];
    if (value === undefined) throw new Error('nothing to pick from');
    return value;
  }

  private drawOther(): string {
    return partFingerprint(`c${this.random.below(this.plan.otherParts)}`);
  }

  private drawSound(): readonly string[] {
    if (this.plan.isSoundRepeated) return REPEATED_REQUEST;
    this.sentCount += 1;
    return [`request-${this.sentCount}`, COMMON_PART, this.drawOther()];
  }

  private drawCrashing(): string[] {
    this.sentCount += 1;
    return [`request-${this.sentCount}`, COMMON_PART, CRASHING_PART, this.drawOther()];
  }

  private arrive(fingerprints: readonly string[]): void {
    const gateway = this.pick(this.members);
    if (!gateway.isAlive || gateway.isFrozen) return;
    gateway.quarantine.review(this.now);
    const isHeld = gateway.quarantine.remainingMs(fingerprints, this.now) !== undefined;
    if (!fingerprints.includes(CRASHING_PART)) this.soundSendings.push({ at: this.now, isHeld });
    this.send(gateway, fingerprints, true);
  }

  private send(
    gateway: QuarantineGateway,
    fingerprints: readonly string[],
    hasRetry: boolean,
  ): void {
    if (!gateway.isAlive || gateway.isFrozen) return;
    if (gateway.quarantine.remainingMs(fingerprints, this.now) !== undefined) return;
    const alive = this.engines.filter(({ backAt }) => backAt <= this.now);
    if (alive.length === 0) return;
    const begunAt = this.now + this.draw(WAIT_MS);
    const isCrashing = fingerprints.includes(CRASHING_PART) && begunAt >= WARM_UP_MS;
    if (isCrashing)
      this.crashingSendings.push({ at: this.now, isInTouch: gateway.isInTouch(this.now) });
    this.running.add({
      gateway,
      fingerprints,
      isCrashing,
      hasRetry,
      server: this.pick(alive).name,
      begunAt,
      endsAt: begunAt + this.draw(isCrashing ? CRASH_AFTER_MS : ANSWER_MS),
    });
  }

  private advanceRequests(): void {
    for (const request of [...this.running]) {
      if (request.endsAt > this.now || !this.running.has(request)) continue;
      const { gateway, fingerprints, begunAt, isCrashing, server } = request;
      if (isCrashing) {
        this.crashTimes.push(this.now);
        this.crash(server);
        continue;
      }
      this.running.delete(request);
      if (gateway.isAlive) gateway.quarantine.recordOwnAnswer(fingerprints, begunAt, this.now);
    }
  }

  /** All requests at the engine break off; their gateways probe it and send them on. */
  private crash(server: string): void {
    const engine = this.engines.find(({ name }) => name === server);
    if (engine) engine.backAt = this.now + this.draw(RESTART_MS);
    const brokenAt = this.now;
    const broken = [...this.running].filter((request) => request.server === server);
    const byGateway = new Map<QuarantineGateway, (readonly string[])[]>();
    for (const request of broken) {
      this.running.delete(request);
      const { gateway, fingerprints, hasRetry } = request;
      byGateway.set(gateway, [...(byGateway.get(gateway) ?? []), fingerprints]);
      if (hasRetry)
        this.after(this.draw(MESSAGE_MS), () => {
          this.send(gateway, fingerprints, false);
        });
    }
    for (const [gateway, requests] of byGateway)
      this.after(this.draw(PROBE_MS), () => {
        if (gateway.isAlive) this.report(gateway, server, requests, brokenAt);
      });
  }

  private report(
    gateway: QuarantineGateway,
    server: string,
    requests: readonly (readonly string[])[],
    brokenAt: number,
  ): void {
    const started = gateway.quarantine.recordOwnFailure(server, requests, brokenAt, this.now);
    if (started.length > 0) this.writeQuarantines(gateway);
    for (const { name } of gateway.table.listPartners()) this.exchangeSoon(gateway, name);
    this.tell(
      gateway,
      { reports: [], quarantined: gateway.quarantine.listAmong(started, this.now) },
      true,
    );
  }

  private exchangeSoon(gateway: QuarantineGateway, name: string): void {
    const digest = gateway.createExchangeDigest(this.now);
    this.deliver(gateway, name, (other) => {
      other.applyDigest(digest, this.now);
      const answer = other.createExchangeDigest(this.now, digest);
      this.deliver(other, gateway.name, () => {
        gateway.applyDigest(answer, this.now);
      });
    });
  }

  private applyDigest(gateway: QuarantineGateway, digest: Digest): void {
    const { quarantined = [], failureDomain } = digest;
    const news = gateway.mergeNews({ reports: collectReports(digest), quarantined }, this.now);
    if (news.quarantined.some(({ fingerprint }) => gateway.quarantine.hasOwnEvidence(fingerprint)))
      this.writeQuarantines(gateway);
    this.tell(gateway, news, failureDomain === gateway.failureDomain);
  }

  private tell(gateway: QuarantineGateway, news: QuarantineNews, isOwnDomain: boolean): void {
    const { reports, quarantined } = news;
    if (reports.length + quarantined.length === 0) return;
    for (const { peer, news: forPeer } of addressQuarantineNews(
      gateway.table.listRelayPeers(),
      gateway.failureDomain,
      quarantined,
      isOwnDomain ? reports : [],
    ))
      this.deliver(gateway, peer.name, (other) => {
        this.tell(other, other.mergeNews(forPeer, this.now), false);
      });
  }

  private deliver(
    from: QuarantineGateway,
    name: string,
    receive: (other: QuarantineGateway) => void,
  ): void {
    this.after(this.draw(MESSAGE_MS), () => {
      const other = this.members.find((each) => each.name === name);
      if (!other?.isAlive || other.isFrozen || !from.isAlive) return;
      if (from.unreachable.has(name) || other.unreachable.has(from.name)) return;
      receive(other);
    });
  }

  private writeQuarantines(gateway: QuarantineGateway): void {
    const notices = gateway.quarantine.listQuarantined(this.now);
    this.stored.set(gateway.name, { notices, at: this.now });
  }

  private disturb(): void {
    const gateway = this.pick(this.members);
    if (!gateway.isAlive || gateway.isFrozen || gateway.unreachable.size > 0) return;
    const forMs = this.draw(DISTURBANCE_MS);
    gateway.disturbedUntil = this.now + forMs;
    switch (this.random.below(3)) {
      case 0:
        gateway.isAlive = false;
        this.after(forMs, () => {
          gateway.quarantine = new QuarantineTable();
          gateway.restart(this.gateways, this.now);
          this.restore(gateway);
        });
        break;
      case 1:
        // A frozen gateway neither sends nor hears; others notice only that it is silent.
        gateway.isFrozen = true;
        for (const { name } of this.gateways) gateway.unreachable.add(name);
        this.after(forMs, () => {
          gateway.isFrozen = false;
          gateway.unreachable.clear();
        });
        break;
      default:
        for (const { name } of this.gateways) gateway.unreachable.add(name);
        this.after(forMs, () => {
          gateway.unreachable.clear();
        });
    }
  }

  private restore(gateway: QuarantineGateway): void {
    for (const { notices, at } of this.stored.values()) {
      const elapsedMs = this.now - at;
      const quarantined = notices.map((notice) => ({
        ...notice,
        ageMs: notice.ageMs + elapsedMs,
        leftMs: notice.leftMs - elapsedMs,
      }));
      gateway.mergeNews({ reports: [], quarantined }, this.now);
    }
  }

  private countHeldSound(): number {
    const parts = Array.from({ length: this.plan.otherParts }, (_, index) => `c${index}`);
    const sound = [
      REPEATED_REQUEST,
      ...parts.map((part) => ['new', COMMON_PART, partFingerprint(part)]),
    ];
    return this.members.filter(({ quarantine }) =>
      sound.some((each) => quarantine.remainingMs(each, this.now) !== undefined),
    ).length;
  }

  private after(ms: number, run: () => void): void {
    this.timers.push({ at: this.now + ms, run });
  }

  private runTimers(): void {
    const due = this.timers.filter(({ at }) => at <= this.now);
    if (due.length === 0) return;
    const rest = this.timers.filter(({ at }) => at > this.now);
    this.timers.length = 0;
    this.timers.push(...rest);
    for (const { run } of due) run();
  }
}
