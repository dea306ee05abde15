/**
 * A model of gateways that own one fabric domain, one after another or at once, by their real code and without a
 * network: each knows the entries as of a moment of its own, and orders may be late, lost or doubled.
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
import type { Proof } from '../../src/controllers/freshness/index.js';
import { groupPlanSchema, type DueOrder } from '../../src/controllers/groups/index.js';
import { createManualClock } from '../../src/core/clock/index.js';
import { createFailure } from '../../src/core/errors/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';
import { createTicker, type DrivenTicker } from '../../src/core/ticker/index.js';
import { createGroupsPart, type GroupsPart } from '../../src/gateway/groups/groups-part.js';
import { createGatewayMetrics } from '../../src/gateway/operations/metrics.js';
import type { ObjectStore } from '../../src/gateway/store/client.js';
import { eraOf, qualifyObject, revisionOf } from '../../src/gateway/store/qualified-revision.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import type { BackendServer, OrderOutcome, StoreObject } from '../../src/ports/index.js';
import { ModelEngines, type ModelEngine } from './group-owners-engines.js';

/** What happens to orders and to writes of plans; parts of all. */
export interface OrderTrouble {
  late: number;
  lost: number;
  doubled: number;
  lostWrites: number;
}

export interface GroupOwnersOptions {
  gateways: number;
  engines: number;
  sizes: Readonly<Record<string, number>>;
  seed: number;
  /** Whether engines differ in the time that it takes them to join. */
  isUneven?: boolean;
  trouble?: OrderTrouble;
}

interface ModelGateway {
  name: string;
  part: GroupsPart | undefined;
  ticker: DrivenTicker;
  fleet: WritableSection<ServingFleet>;
  proof: WritableSection<Proof | undefined>;
  /** Services for which this gateway owns no domain. */
  cutOff: WritableSection<readonly string[]>;
  reachability: WritableSection<{ reachable: boolean; since: number }>;
  /** Age of what it knows of the entries; infinite while it learns nothing. */
  lagMs: number;
  /** Next item of the store's history. */
  next: number;
  era: number;
  restoreNoticedAt: number;
  /** Engines that don't answer its probes. */
  silent: Set<string>;
}

interface StoreItem {
  at: number;
  revision: number;
  change: FleetChange;
  /** Whether it is an entry of an older copy, to which the store was restored. */
  isRestored: boolean;
}

interface StoreCopy {
  revision: number;
  entries: Map<string, BackendServer>;
  plans: Map<string, StoreObject>;
}

const SERVICE = 'models';
const CALM: OrderTrouble = { late: 0, lost: 0, doubled: 0, lostWrites: 0 };
const STEP_MS = 100;
const ORDER_TIMEOUT_MS = 700;
/** Orders without an answer are carried out after at least and at most so long. */
const LATE_FROM_MS = 2_000;
const LATE_SPAN_MS = 10_000;
const REWRITE_SPAN_MS = 2_000;
const SETTLING_MS = 2_200;
/** Entries of engines that have ended are removed after three heartbeats. */
const EXPIRY_MS = 3_000;
const TIMES = {
  joinMs: 200,
  warmMs: 400,
  loadMs: 2_000,
  formMs: 300,
  closeMs: 800,
  stallMs: 4_000,
};
/** Steps at the end of the record that a failure shows. */
const TRACE_LENGTH = 60;

export class GroupOwnersModel {
  readonly engines: ModelEngines;
  readonly random: Random;
  private readonly clock = createManualClock();
  private readonly gateways: ModelGateway[] = [];
  private trouble: OrderTrouble;
  private readonly later: { at: number; run: () => void }[] = [];
  private readonly record: string[] = [];
  private readonly history: StoreItem[] = [];
  private readonly copies: StoreCopy[] = [];
  private readonly metrics = createGatewayMetrics();
  private store: StoreCopy = { revision: 0, entries: new Map(), plans: new Map() };
  private era = 0;
  private starts = 0;
  private readonly joins: { to: string; order: DueOrder['order'] }[] = [];

  constructor(private readonly options: GroupOwnersOptions) {
    this.random = createRandom(options.seed);
    this.trouble = options.trouble ?? CALM;
    this.engines = new ModelEngines({
      now: () => this.clock.now(),
      sizes: options.sizes,
      times: TIMES,
      isUneven: options.isUneven ?? false,
      onChange: (engine) => {
        this.writeEntry(engine);
      },
    });
    for (let index = 1; index <= options.engines; index += 1) this.startEngine(`i-${index}`);
    for (let index = 0; index < options.gateways; index += 1)
      this.gateways.push(this.createGateway('ABCDE'.charAt(index)));
    for (const gateway of this.gateways) this.startGateway(gateway);
  }

  /** What happened up to a time. */
  traceUntil(at: number): string {
    const lines = this.record.filter((line) => Number.parseInt(line, 10) <= at);
    return [...lines.slice(-TRACE_LENGTH), `at last: ${this.engines.describe()}`].join('\n');
  }

  get engineIds(): string[] {
    return [...this.engines.alive.keys()];
  }

  async run(ms: number): Promise<void> {
    for (let end = this.clock.now() + ms; this.clock.now() < end;) {
      this.clock.advance(STEP_MS);
      await this.step();
    }
  }

  chance(part: number): boolean {
    return this.random.fraction() < part;
  }

  draw(span: number): number {
    return this.random.fraction() * span;
  }

  note(who: string, what: string): void {
    this.record.push(`${this.clock.now()} ${who}: ${what}`);
  }

  after(ms: number, run: () => void): void {
    this.later.push({ at: this.clock.now() + ms, run });
  }

  // --- what happens to gateways ---

  setOwner(index: number, owns: boolean): void {
    const gateway = this.at(index);
    if (owns === (gateway.cutOff.read().length === 0)) return;
    this.note(gateway.name, owns ? 'owns the domain' : 'does not own the domain');
    gateway.cutOff.write(owns ? [] : [SERVICE]);
  }

  /** Sets how old the entries are that a gateway knows; infinite to keep what it has. */
  setLag(index: number, lagMs: number): void {
    this.at(index).lagMs = lagMs;
  }

  /** Lets a gateway learn of all changes once. */
  catchUp(index: number): void {
    this.learn(this.at(index), this.clock.now());
  }

  setReachable(index: number, reachable: boolean): void {
    const { name, reachability } = this.at(index);
    if (reachability.read().reachable === reachable) return;
    this.note(name, reachable ? 'regains the store' : 'loses the store');
    reachability.write({ reachable, since: this.clock.now() });
  }

  /** Lets an engine not answer the probes of one gateway for a while. */
  silence(index: number, id: string, ms: number): void {
    const { name, silent } = this.at(index);
    this.note(name, `has no answer from ${id}`);
    silent.add(id);
    this.after(ms, () => {
      silent.delete(id);
    });
  }

  /** Ends what disturbs orders and gateways, and lets one gateway own the domain. */
  calmDown(): void {
    this.trouble = CALM;
    for (const index of this.gateways.keys()) {
      this.setReachable(index, true);
      this.setLag(index, 0);
      this.setOwner(index, index === 0);
    }
  }

  restartGateway(index: number): void {
    const gateway = this.at(index);
    void gateway.part?.stop();
    this.note(gateway.name, 'restarts');
    gateway.era = 0;
    gateway.restoreNoticedAt = -Infinity;
    this.startGateway(gateway);
    this.show(gateway, [...this.store.entries.values()], this.clock.now());
  }

  // --- what happens to engines and the store ---

  /** Lets an engine drain and end; another one takes its place. */
  drain(id: string, ms: number): void {
    const engine = this.engines.alive.get(id);
    if (engine === undefined || engine.leaving) return;
    this.setLeaving(id, true);
    this.after(ms, () => {
      if (this.engines.alive.get(id) !== engine) return;
      this.endEngine(id);
      this.startEngine(`i-${this.starts + 1}`);
    });
  }

  setLeaving(id: string, leaving: boolean): void {
    const engine = this.engines.alive.get(id);
    if (engine === undefined) return;
    this.note(id, leaving ? 'is leaving' : 'is no longer leaving');
    engine.leaving = leaving;
    this.writeEntry(engine);
  }

  startEngine(id: string): void {
    if (this.engines.alive.has(id)) return;
    this.starts += 1;
    this.note(id, 'starts');
    this.engines.start(id, this.starts, Object.keys(this.options.sizes));
  }

  /** Ends an engine; another one starts on its host, with the same ID or another one. */
  crash(id: string, keepsId: boolean): void {
    this.endEngine(id, EXPIRY_MS);
    this.after(500 + this.draw(2_000), () => {
      this.startEngine(keepsId ? id : `i-${this.starts + 1}`);
    });
  }

  /** Whether engines carry out orders without answering them. */
  losesAnswers = false;

  /** Delivers another copy of each order to join that was not answered. */
  repeatJoins(): void {
    for (const { to, order } of [...this.joins]) this.deliver(to, order, 'a late copy');
  }

  /** Restores the store from a copy that is some seconds old. */
  restore(ageMs: number): void {
    const copy = this.copies.at(-1 - Math.floor(ageMs / STEP_MS));
    if (copy === undefined) return;
    this.era += 1;
    const { entries } = this.store;
    this.note('store', `is restored from revision ${copy.revision}`);
    this.store = structuredClone(copy);
    for (const [key, plan] of this.store.plans) {
      const old = { ...plan, revision: revisionOf(plan.revision) };
      this.store.plans.set(key, qualifyObject(old, this.era));
    }
    for (const [id, server] of this.store.entries) {
      const entryRevision = this.qualify(revisionOf(server.entryRevision ?? 0));
      this.write(id, { ...server, entryRevision }, true);
      if (!this.engines.alive.has(id)) this.expire(id, EXPIRY_MS);
    }
    for (const id of entries.keys())
      if (!this.store.entries.has(id) && !this.engines.alive.has(id)) this.write(id, undefined);
    for (const engine of this.engines.alive.values())
      this.after(this.draw(REWRITE_SPAN_MS), () => {
        if (this.engines.alive.get(engine.id) === engine) this.writeEntry(engine);
      });
  }

  private at(index: number): ModelGateway {
    const gateway = this.gateways[index];
    if (gateway === undefined) throw new Error(`no gateway ${index}`);
    return gateway;
  }

  private endEngine(id: string, expiryMs = 0): void {
    this.note(id, 'ends');
    this.engines.end(id);
    this.expire(id, expiryMs);
  }

  private expire(id: string, ms: number): void {
    this.after(ms, () => {
      if (!this.engines.alive.has(id) && this.store.entries.has(id)) {
        this.store.revision += 1;
        this.write(id, undefined);
      }
    });
  }

  private writeEntry(engine: ModelEngine): void {
    const { id, startedAt, leaving, staged, membership, lastModel } = engine;
    this.store.revision += 1;
    const model = membership && membership.state !== 'joining' ? lastModel : undefined;
    this.write(id, {
      id,
      service: SERVICE,
      address: `10.0.0.1:${startedAt}`,
      failureDomain: 'north',
      slots: 12,
      leaving,
      startedAt,
      entryRevision: this.qualify(this.store.revision),
      engine: {
        fabricDomain: 'fabric',
        staged: [...staged],
        ...(model !== undefined && { model }),
        ...(membership && { membership: { ...membership } }),
      },
    });
  }

  private write(id: string, server: BackendServer | undefined, isRestored = false): void {
    if (server) this.store.entries.set(id, server);
    else this.store.entries.delete(id);
    const change: FleetChange = server ? { kind: 'present', server } : { kind: 'absent', id };
    const revision = this.qualify(this.store.revision);
    this.history.push({ at: this.clock.now(), revision, change, isRestored });
  }

  private qualify(revision: number): number {
    return qualifyObject({ name: '', value: undefined, revision }, this.era).revision;
  }

  // --- gateways ---

  private createGateway(name: string): ModelGateway {
    return {
      name,
      part: undefined,
      ticker: createTicker(this.clock),
      fleet: createSection(EMPTY_FLEET),
      proof: createSection<Proof | undefined>(undefined),
      cutOff: createSection<readonly string[]>([SERVICE]),
      reachability: createSection({ reachable: true, since: this.clock.now() }),
      lagMs: 0,
      next: 0,
      era: 0,
      restoreNoticedAt: -Infinity,
      silent: new Set(),
    };
  }

  private startGateway(gateway: ModelGateway): void {
    gateway.ticker = createTicker(this.clock);
    gateway.fleet = createSection(EMPTY_FLEET);
    gateway.proof = createSection<Proof | undefined>(undefined);
    const { silent } = gateway;
    const isSilent = (id: string): boolean => silent.has(id) || !this.engines.alive.has(id);
    gateway.part = createGroupsPart({
      context: this.createContext(gateway),
      store: this.createStore(gateway),
      calls: {
        isCoolingDown: () => false,
        order: (due) => this.send(gateway, due),
        probe: ({ id, startedAt }) => {
          const engine = this.engines.alive.get(id);
          if (silent.has(id)) return Promise.resolve({ kind: 'silent' });
          const isSame = startedAt === undefined || engine?.startedAt === startedAt;
          return Promise.resolve(
            engine && isSame ? { kind: 'answers', pace: 1 } : { kind: 'gone' },
          );
        },
        close: () => Promise.resolve(),
      },
      backends: {
        hasServed: () => true,
        inFlightAt: () => 0,
        suspicions: { isSuspect: isSilent },
      } as unknown as Parameters<typeof createGroupsPart>[0]['backends'],
      contact: {
        isSettling: (confirmedAt) => confirmedAt < gateway.restoreNoticedAt + SETTLING_MS,
      },
      traffic: createSection(true),
    });
    gateway.part.start();
  }

  private createContext(gateway: ModelGateway): GatewayContext {
    const models = Object.entries(this.options.sizes).map(([name, size]) => {
      return { name, size, pace: 1, share: 0.5, loadMs: TIMES.loadMs, warmMs: TIMES.warmMs };
    });
    const engine = { models, slots: 12, loadsAtOnce: 20, loadsPerSecond: 20, formMs: TIMES.formMs };
    const board: Partial<GatewayContext['board']> = {
      serving: createSection({
        services: new Map([[SERVICE, { name: SERVICE, maxConnections: 100, engine }]]),
      } as unknown as ServingIndex),
      fleet: gateway.fleet,
      fleetProof: gateway.proof,
      peers: createSection(new Map()),
      ownerCandidates: createSection(new Map()),
      evacuations: createSection(undefined),
      cutOffServices: gateway.cutOff,
      storeReachability: gateway.reachability,
    };
    const context: Partial<GatewayContext> = {
      board: board as GatewayContext['board'],
      clock: this.clock,
      random: this.random,
      ticker: gateway.ticker,
      logger: silentLogger,
      metrics: this.metrics,
      settings: { name: gateway.name, failureDomain: 'north' } as GatewayContext['settings'],
      incarnation: `${gateway.name}@${this.clock.now()}`,
    };
    return context as GatewayContext;
  }

  private createStore(gateway: ModelGateway): ObjectStore {
    const lost = () => errAsync(createFailure('platformOutcomeUnknown', { reason: 'lost' }));
    const store: Partial<ObjectStore> = {
      era: () => gateway.era,
      read: (kind, name) => {
        if (!gateway.reachability.read().reachable) return lost();
        this.notice(gateway, this.era);
        return okAsync(this.store.plans.get(`${kind}/${name}`));
      },
      write: (kind, name, value, revision) => {
        if (!gateway.reachability.read().reachable) return lost();
        this.notice(gateway, this.era);
        const { plans } = this.store;
        const object = plans.get(`${kind}/${name}`);
        if (object?.revision !== revision)
          return okAsync({ kind: 'conflict', ...(object && { object }) });
        this.store.revision += 1;
        const written = {
          name,
          value: structuredClone(value),
          revision: this.qualify(this.store.revision),
        };
        plans.set(`${kind}/${name}`, written);
        this.notePlan(gateway, value);
        if (this.chance(this.trouble.lostWrites)) return lost();
        return okAsync({ kind: 'written', object: written });
      },
    };
    return store as ObjectStore;
  }

  private notePlan(gateway: ModelGateway, value: unknown): void {
    const groups = groupPlanSchema
      .parse(value)
      .groups.map(
        ({ name, closing, members }) => `${name}[${members.map(({ id }) => id).join()}]:${closing}`,
      );
    const seen = revisionOf(gateway.fleet.read().revision);
    const text = `writes plan ${this.store.revision} (its view shows ${seen}): ${groups.join(' ')}`;
    this.note(gateway.name, text);
  }

  private notice(gateway: ModelGateway, era: number): void {
    if (era <= gateway.era) return;
    gateway.era = era;
    gateway.restoreNoticedAt = this.clock.now();
  }

  /** Learns of the store's changes up to `until`, by a question that was sent then. */
  private learn(gateway: ModelGateway, until: number): void {
    const changes: FleetChange[] = [];
    const known = gateway.fleet.read();
    let { revision } = known;
    for (; (this.history[gateway.next]?.at ?? Infinity) <= until; gateway.next += 1) {
      const item = this.history[gateway.next];
      if (item === undefined) break;
      revision = item.revision;
      if (!item.isRestored || !isSameRun(known, item.change)) changes.push(item.change);
    }
    if (revision !== known.revision) {
      gateway.fleet.write(applyFleetChanges(known, changes, revision, 0, 0));
      this.notice(gateway, eraOf(revision));
    }
    if (until > (gateway.proof.read()?.at ?? -1))
      gateway.proof.write({ at: until, source: 'store' });
  }

  /** Shows a gateway that starts the entries that the store lists. */
  private show(gateway: ModelGateway, servers: readonly BackendServer[], at: number): void {
    gateway.next = this.history.length;
    const changes = servers.map((server): FleetChange => ({ kind: 'present', server }));
    const revision = Math.max(0, ...servers.map(({ entryRevision }) => entryRevision ?? 0));
    gateway.fleet.write(applyFleetChanges(EMPTY_FLEET, changes, revision, 0, 0));
    this.notice(gateway, this.era);
    gateway.proof.write({ at, source: 'store' });
  }

  private send(gateway: ModelGateway, { order, to }: Pick<DueOrder, 'to' | 'order'>) {
    const { late, lost, doubled } = this.trouble;
    const origin = `order of ${gateway.name}, whose view shows ${revisionOf(gateway.fleet.read().revision)}`;
    const lateMs = LATE_FROM_MS + this.draw(LATE_SPAN_MS);
    const isLate = this.chance(late);
    // An order that was answered is not carried out again.
    const isDoubled = this.chance(doubled);
    if (order.kind === 'join' && this.losesAnswers) this.joins.push({ to: to.id, order });
    if (isLate || isDoubled) this.after(lateMs, () => this.deliver(to.id, order, `late ${origin}`));
    const isDelivered = !isLate && !this.chance(lost);
    const outcome = isDelivered ? this.deliver(to.id, order, origin) : undefined;
    if (outcome && !isDoubled && !this.losesAnswers) return Promise.resolve(outcome);
    return new Promise<OrderOutcome>((resolve) => {
      this.after(ORDER_TIMEOUT_MS, () => {
        resolve({ kind: 'unknown', reason: 'no answer' });
      });
    });
  }

  private deliver(to: string, order: DueOrder['order'], origin: string): OrderOutcome {
    const before = this.engines.breaches.length;
    const outcome = this.engines.take(to, order, origin);
    const group = 'group' in order ? order.group : order.model;
    const status = 'status' in outcome ? ` ${outcome.status}` : '';
    this.note(to, `${order.kind} ${group} is ${outcome.kind}${status} (${origin})`);
    for (const { rule, text } of this.engines.breaches.slice(before)) this.note(rule, text);
    return outcome;
  }

  private async step(): Promise<void> {
    const now = this.clock.now();
    for (const task of this.later.filter(({ at }) => at <= now)) {
      this.later.splice(this.later.indexOf(task), 1);
      task.run();
    }
    this.engines.advance();
    this.copies.push({
      revision: this.store.revision,
      entries: new Map(this.store.entries),
      plans: new Map(this.store.plans),
    });
    for (const gateway of this.gateways) {
      if (gateway.reachability.read().reachable && gateway.lagMs < Infinity)
        this.learn(gateway, now - gateway.lagMs);
      gateway.ticker.run();
    }
    // Store calls and orders are answered within the step.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Whether a gateway that knows of the run of a server keeps what it knows when the store is restored. */
function isSameRun({ servers }: ServingFleet, change: FleetChange): boolean {
  if (change.kind !== 'present') return false;
  return servers.get(change.server.id)?.startedAt === change.server.startedAt;
}
