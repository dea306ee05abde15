/**
 * A model of a fleet whose gateways plan replicas and send orders by their real code, without a network: engines
 * begin loads of weights, orders may be carried out late, and news of engines and gateways is old.
 */
import { errAsync, okAsync } from 'neverthrow';
import { createSection, type WritableSection } from '../../src/board/index.js';
import {
  applyFleetChanges,
  EMPTY_FLEET,
  type FleetChange,
  type ServingFleet,
  type ServingIndex,
} from '../../src/controllers/forwarding/index.js';
import type { DueOrder } from '../../src/controllers/groups/index.js';
import type { GatewayPeer } from '../../src/controllers/peering/index.js';
import { createManualClock } from '../../src/core/clock/index.js';
import { createFailure } from '../../src/core/errors/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';
import { createTicker, type DrivenTicker } from '../../src/core/ticker/index.js';
import { createGroupsPart, type GroupsPart } from '../../src/gateway/groups/groups-part.js';
import { createGatewayMetrics } from '../../src/gateway/operations/metrics.js';
import type { ObjectStore } from '../../src/gateway/store/client.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import type {
  BackendServer,
  EngineProfile,
  GroupMembership,
  OrderOutcome,
  StoreObject,
} from '../../src/ports/index.js';

/** Sizes and limits of a modelled fleet. */
export interface LoadsFleetPlan {
  gateways: number;
  domains: number;
  enginesPerDomain: number;
  loadsAtOnce: number;
  loadsPerSecond: number;
}

/** What disturbs the fleet; all of it is drawn from the seed. */
export interface LoadsTrouble {
  /** Part of the orders that are not answered and carried out seconds later. */
  lateOrders: number;
  /** Longest delay of news of engines. */
  newsMs: number;
}

const SERVICE = 'models';
const ZONES = ['north', 'south', 'west'] as const;
const JOIN_MS = 200;
const FORM_MS = 300;
/** Before traffic, loads take a tenth of their time. */
const EARLY_FACTOR = 0.1;
const PEER_NEWS_MS = 600;
/** Between two deliveries of news of engines. */
const NEWS_INTERVAL_MS = 400;
/** Orders without an answer are carried out after at least and at most so long. */
const LATE_FROM_MS = 2_000;
const LATE_SPAN_MS = 10_000;
const ORDER_TIMEOUT_MS = 700;
const START_SPAN_MS = 1_500;
/** Between two readiness checks of the balancer. */
const BALANCER_MS = 1_000;
export const STEP_MS = 100;

interface ModelEngine {
  id: string;
  domain: string;
  zone: string;
  startedAt: number;
  staged: string[];
  staging: { model: string; doneAt: number } | undefined;
  lastModel: string | undefined;
  membership: GroupMembership | undefined;
  joinDoneAt: number;
  joinModel: string;
  openAt: number;
  seenEpoch: number;
  hasEnded: boolean;
}

interface FleetNews {
  at: number;
  change: FleetChange;
}

/** What the gateways that follow the fleet from the same moment know of it. */
interface Feed {
  section: WritableSection<ServingFleet>;
  lagMs: number;
  next: number;
}

interface ModelGateway {
  name: string;
  zone: string;
  part: GroupsPart | undefined;
  ticker: DrivenTicker;
  startsAt: number;
  startedAt: number;
  hasServed: boolean;
  servesAt: number;
  peer: GatewayPeer;
}

/** A fleet over simulated time. */
export class LoadsFleet {
  /** When loads began that count, in the order of their begin. */
  readonly loads: number[] = [];
  private readonly clock = createManualClock();
  private readonly random: Random;
  private readonly profile: EngineProfile;
  private readonly engines = new Map<string, ModelEngine>();
  private readonly gateways: ModelGateway[] = [];
  private readonly objects = new Map<string, StoreObject>();
  private readonly news: FleetNews[] = [];
  private readonly feeds = new Map<string, Feed>();
  private readonly peers = createSection<ReadonlyMap<string, GatewayPeer>>(new Map());
  private readonly metrics = createGatewayMetrics();
  private readonly later: { at: number; run: () => void }[] = [];
  private hasTraffic = false;
  private revision = 1;
  private added = 0;
  private peersDueAt = 0;
  private newsDueAt = 0;

  constructor(
    plan: LoadsFleetPlan,
    private readonly trouble: LoadsTrouble,
    seed: number,
  ) {
    this.random = createRandom(seed);
    this.profile = {
      models: [
        { name: 'large', size: 4, pace: 1, share: 0.5, loadMs: 16_000, warmMs: 1_600 },
        { name: 'small', size: 2, pace: 0.6, share: 0.5, loadMs: 12_000, warmMs: 1_100 },
      ],
      slots: 12,
      stride: 5,
      stepMs: 8,
      stepPerRequestMs: 0.1,
      promptTokensPerMs: 46,
      promptChunk: 2_048,
      loadsAtOnce: plan.loadsAtOnce,
      loadsPerSecond: plan.loadsPerSecond,
      formMs: FORM_MS,
    };
    for (let domain = 0; domain < plan.domains; domain += 1)
      for (let index = 0; index < plan.enginesPerDomain; index += 1) this.addEngine(domain);
    for (let index = 0; index < plan.gateways; index += 1) this.addGateway(index);
  }

  get now(): number {
    return this.clock.now();
  }

  get groupsOpen(): number {
    return [...this.engines.values()].filter(
      ({ membership, hasEnded }) => !hasEnded && membership?.state === 'open',
    ).length;
  }

  /** Lets `ms` pass. */
  async run(ms: number): Promise<void> {
    for (let end = this.clock.now() + ms; this.clock.now() < end;) {
      this.clock.advance(STEP_MS);
      await this.step();
    }
  }

  beginTraffic(): void {
    this.hasTraffic = true;
    for (const gateway of this.gateways) gateway.servesAt = this.clock.now() + this.draw(STEP_MS);
  }

  /** Restarts gateways; requests reach each again some time after its start. */
  restart(first: number, count: number): void {
    for (const gateway of this.gateways.slice(first, first + count)) {
      void gateway.part?.stop();
      gateway.part = undefined;
      gateway.startsAt = this.clock.now() + 800 + this.draw(START_SPAN_MS);
    }
  }

  /** Ends a part of the engines for good; as many empty ones come. */
  replaceEngines(part: number): void {
    const alive = [...this.engines.values()].filter(({ hasEnded }) => !hasEnded);
    for (const engine of alive) {
      if (this.random.fraction() >= part) continue;
      engine.hasEnded = true;
      this.engines.delete(engine.id);
      this.publish({ kind: 'absent', id: engine.id });
      this.addEngine(Number(engine.domain.split('-')[1]));
    }
  }

  private draw(span: number): number {
    return this.random.fraction() * span;
  }

  private addEngine(domain: number): void {
    this.added += 1;
    const engine: ModelEngine = {
      id: `engine-${this.added}`,
      domain: `fabric-${domain}`,
      zone: ZONES[domain % ZONES.length] ?? 'north',
      startedAt: this.added,
      staged: [],
      staging: undefined,
      lastModel: undefined,
      membership: undefined,
      joinDoneAt: Infinity,
      joinModel: '',
      openAt: Infinity,
      seenEpoch: 0,
      hasEnded: false,
    };
    this.engines.set(engine.id, engine);
    this.report(engine);
  }

  private report(engine: ModelEngine): void {
    const { id, domain, zone, startedAt, staged, membership, lastModel } = engine;
    const model = membership && membership.state !== 'joining' ? lastModel : undefined;
    const server: BackendServer = {
      id,
      service: SERVICE,
      address: `10.0.0.1:${startedAt}`,
      failureDomain: zone,
      slots: 12,
      leaving: false,
      startedAt,
      engine: {
        fabricDomain: domain,
        staged: [...staged],
        ...(model !== undefined && { model }),
        ...(membership && { membership: { ...membership } }),
      },
    };
    this.publish({ kind: 'present', server });
  }

  private publish(change: FleetChange): void {
    this.news.push({ at: this.clock.now(), change });
  }

  // --- gateways ---

  private addGateway(index: number): void {
    const zone = ZONES[index % ZONES.length] ?? 'north';
    const name = `gateway-${index}`;
    const peer: GatewayPeer = {
      name,
      address: `10.0.1.1:${index}`,
      failureDomain: zone,
      lastHeardAt: 0,
      storeReachable: true,
      cutOffFrom: [],
      hasServed: false,
    };
    this.gateways.push({
      name,
      zone,
      part: undefined,
      ticker: createTicker(this.clock),
      startsAt: this.draw(STEP_MS * 3),
      startedAt: 0,
      hasServed: false,
      servesAt: Infinity,
      peer,
    });
  }

  private start(gateway: ModelGateway): void {
    const now = this.clock.now();
    gateway.startedAt = now;
    gateway.startsAt = Infinity;
    gateway.hasServed = false;
    gateway.servesAt = this.hasTraffic ? now + BALANCER_MS + this.draw(START_SPAN_MS) : Infinity;
    gateway.ticker = createTicker(this.clock);
    gateway.part = createGroupsPart({
      context: this.createContext(gateway),
      store: this.createStore(),
      calls: {
        isCoolingDown: () => false,
        order: (due) => this.takeOrder(due),
        probe: ({ id }) =>
          Promise.resolve(this.engines.has(id) ? { kind: 'answers', pace: 1 } : { kind: 'gone' }),
        close: () => Promise.resolve(),
      },
      backends: {
        hasServed: () => gateway.hasServed,
        inFlightAt: () => 0,
        suspicions: { isSuspect: () => false },
      } as unknown as Parameters<typeof createGroupsPart>[0]['backends'],
      contact: { isSettling: () => false },
      traffic: createSection(false),
    });
    gateway.part.start();
  }

  private createContext(gateway: ModelGateway): GatewayContext {
    const service = { name: SERVICE, maxConnections: 100, engine: this.profile };
    const board: Partial<GatewayContext['board']> = {
      serving: createSection({
        services: new Map([[SERVICE, service]]),
      } as unknown as ServingIndex),
      fleet: this.feedOf(gateway).section,
      fleetProof: createSection(undefined),
      peers: this.peers,
      ownerCandidates: this.peers,
      evacuations: createSection(undefined),
      cutOffServices: createSection<readonly string[]>([]),
      storeReachability: createSection({ reachable: true, since: this.clock.now() }),
    };
    const context: Partial<GatewayContext> = {
      board: board as GatewayContext['board'],
      clock: this.clock,
      random: this.random,
      ticker: gateway.ticker,
      logger: silentLogger,
      metrics: this.metrics,
      settings: {
        name: gateway.name,
        failureDomain: gateway.zone,
      } as GatewayContext['settings'],
      incarnation: `${gateway.name}@${gateway.startedAt}`,
    };
    return context as GatewayContext;
  }

  /** Gateways of a failure domain that started at the same time learn of the fleet from one feed. */
  private feedOf({ zone, startedAt }: ModelGateway): Feed {
    const key = `${zone} ${startedAt}`;
    const known = this.feeds.get(key);
    if (known) return known;
    const feed = {
      section: createSection(EMPTY_FLEET),
      lagMs: this.draw(this.trouble.newsMs),
      next: 0,
    };
    this.feeds.set(key, feed);
    this.feed(feed);
    return feed;
  }

  private feed(feed: Feed): void {
    const changes: FleetChange[] = [];
    const until = this.clock.now() - feed.lagMs;
    for (; (this.news[feed.next]?.at ?? Infinity) <= until; feed.next += 1) {
      const news = this.news[feed.next];
      if (news) changes.push(news.change);
    }
    if (changes.length === 0) return;
    // A gateway that starts reads the newest entries only.
    const newest = new Map(
      changes.map((change) => [change.kind === 'present' ? change.server.id : change.id, change]),
    );
    const used = feed.section.version() === 0 ? [...newest.values()] : changes;
    feed.section.write(applyFleetChanges(feed.section.read(), used, feed.next, 0, 0));
  }

  private createStore(): ObjectStore {
    const store: Partial<ObjectStore> = {
      era: () => 0,
      read: (kind, name) => okAsync(this.objects.get(`${kind}/${name}`)),
      write: (kind, name, value, revision) => {
        const key = `${kind}/${name}`;
        const object = this.objects.get(key);
        if (object?.revision !== revision)
          return okAsync({ kind: 'conflict', ...(object && { object }) });
        this.revision += 1;
        const written = { name, value: structuredClone(value), revision: this.revision };
        this.objects.set(key, written);
        // The answers to some writes are lost.
        if (this.random.fraction() < this.trouble.lateOrders / 10)
          return errAsync(createFailure('platformOutcomeUnknown', { reason: 'lost' }));
        return okAsync({ kind: 'written', object: written });
      },
    };
    return store as ObjectStore;
  }

  // --- time ---

  private async step(): Promise<void> {
    const now = this.clock.now();
    for (const task of this.later.filter(({ at }) => at <= now)) {
      this.later.splice(this.later.indexOf(task), 1);
      task.run();
    }
    for (const engine of this.engines.values()) this.advance(engine, now);
    if (now >= this.newsDueAt) {
      this.newsDueAt = now + NEWS_INTERVAL_MS;
      for (const feed of this.feeds.values()) this.feed(feed);
    }
    if (now >= this.peersDueAt) {
      this.peersDueAt = now + PEER_NEWS_MS;
      this.exchangePeers();
    }
    for (const gateway of this.gateways) {
      if (gateway.startsAt <= now) this.start(gateway);
      if (gateway.servesAt <= now) gateway.hasServed = true;
      if (gateway.part) gateway.ticker.run();
    }
    // Store calls and orders are answered within the step.
    for (let turn = 0; turn < 3; turn += 1)
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
  }

  private exchangePeers(): void {
    const started = this.gateways.filter(
      ({ part, startedAt }) =>
        part !== undefined && startedAt + PEER_NEWS_MS / 2 <= this.clock.now(),
    );
    this.peers.write(
      new Map(started.map(({ name, peer, hasServed }) => [name, { ...peer, hasServed }])),
    );
  }

  // --- engines ---

  private advance(engine: ModelEngine, now: number): void {
    const { staging, membership } = engine;
    if (staging && staging.doneAt <= now) {
      engine.staged = [staging.model];
      engine.staging = undefined;
      this.report(engine);
    }
    if (engine.joinDoneAt <= now && membership) {
      engine.joinDoneAt = Infinity;
      engine.lastModel = engine.joinModel;
      engine.membership = { ...membership, state: 'ready' };
      this.report(engine);
    }
    if (engine.openAt <= now && membership) {
      engine.openAt = Infinity;
      engine.membership = { ...membership, state: 'open' };
      this.report(engine);
    }
  }

  private takeOrder({ order, to }: Pick<DueOrder, 'to' | 'order'>): Promise<OrderOutcome> {
    const isLate = this.hasTraffic && this.random.fraction() < this.trouble.lateOrders;
    if (!isLate) return Promise.resolve(this.carryOut(order, to.id));
    this.later.push({
      at: this.clock.now() + LATE_FROM_MS + this.draw(LATE_SPAN_MS),
      run: () => this.carryOut(order, to.id),
    });
    return new Promise((resolve) => {
      this.later.push({
        at: this.clock.now() + ORDER_TIMEOUT_MS,
        run: () => {
          resolve({ kind: 'unknown', reason: 'no answer' });
        },
      });
    });
  }

  private carryOut(order: DueOrder['order'], id: string): OrderOutcome {
    const engine = this.engines.get(id);
    if (engine === undefined) return { kind: 'gone' };
    const isOwn =
      order.kind !== 'stage' &&
      engine.membership?.group === order.group &&
      engine.membership.epoch === order.epoch;
    switch (order.kind) {
      case 'stage':
        if (engine.staged.includes(order.model)) return { kind: 'done' };
        if (engine.staging?.model === order.model) return { kind: 'done' };
        this.beginLoad(engine, order.model);
        return { kind: 'accepted' };
      case 'join':
        if (order.epoch < engine.seenEpoch) return { kind: 'refused', status: 412 };
        if (isOwn) return { kind: 'done' };
        this.join(engine, order);
        return { kind: 'accepted' };
      case 'open':
        if (!isOwn || engine.membership?.state !== 'ready') return { kind: 'refused', status: 409 };
        engine.openAt = this.clock.now() + FORM_MS;
        return { kind: 'accepted' };
      case 'close':
      case 'leave':
        if (isOwn) engine.membership = undefined;
        engine.joinDoneAt = Infinity;
        engine.openAt = Infinity;
        this.report(engine);
        return { kind: 'done' };
    }
  }

  private join(engine: ModelEngine, order: Extract<DueOrder['order'], { kind: 'join' }>): void {
    const now = this.clock.now();
    const { group, epoch, model, members } = order;
    engine.seenEpoch = epoch;
    engine.membership = { group, epoch, rank: members.indexOf(engine.id), state: 'joining' };
    engine.joinModel = model;
    if (engine.lastModel === model) engine.joinDoneAt = now + JOIN_MS;
    else {
      // A staging under way replaces what the host holds.
      const held = engine.staging ? [engine.staging.model] : engine.staged;
      const waitMs = Math.max(0, (engine.staging?.doneAt ?? now) - now);
      const warmMs = this.profile.models.find(({ name }) => name === model)?.warmMs ?? 0;
      engine.joinDoneAt = now + waitMs + (held.includes(model) ? warmMs : 0);
      if (!held.includes(model)) engine.joinDoneAt = this.beginLoad(engine, model);
    }
    this.report(engine);
  }

  private beginLoad(engine: ModelEngine, model: string): number {
    const now = this.clock.now();
    const loadMs = this.profile.models.find(({ name }) => name === model)?.loadMs ?? 0;
    const doneAt = now + loadMs * (this.hasTraffic ? 1 : EARLY_FACTOR);
    engine.staging = { model, doneAt };
    if (this.hasTraffic) this.loads.push(now);
    return doneAt;
  }
}
