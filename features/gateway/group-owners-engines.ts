/**
 * Engines that follow the protocol's rules of joins, opens, closes, leaves and epochs, and a judge that looks at
 * them and not at what gateways know of them.
 */
import type { Milliseconds } from '../../src/core/clock/index.js';
import type { EngineOrder, GroupMembership, OrderOutcome } from '../../src/ports/index.js';

/** One run of an engine process. */
export interface ModelEngine {
  id: string;
  startedAt: number;
  leaving: boolean;
  staged: readonly string[];
  membership: GroupMembership | undefined;
  /** Of the last join; kept after leaving. */
  seen: { group: string; epoch: number; model: string; members: readonly string[] } | undefined;
  lastModel: string | undefined;
  readyAt: Milliseconds;
  openAt: Milliseconds;
  closedAt: Milliseconds;
  brokenAt: Milliseconds;
}

/** A rule that was broken, with the order or event by which it was. */
export interface Breach {
  rule: 'TWO' | 'PARTIAL';
  at: Milliseconds;
  text: string;
}

interface EngineTimes {
  joinMs: Milliseconds;
  warmMs: Milliseconds;
  loadMs: Milliseconds;
  formMs: Milliseconds;
  closeMs: Milliseconds;
  stallMs: Milliseconds;
}

interface EnginesOptions {
  now: () => Milliseconds;
  sizes: Readonly<Record<string, number>>;
  times: EngineTimes;
  isUneven: boolean;
  /** Called after each change of what an engine reports. */
  onChange: (engine: ModelEngine) => void;
}

const REFUSED: OrderOutcome = { kind: 'refused', status: 409 };
const OUTDATED: OrderOutcome = { kind: 'refused', status: 412 };

export class ModelEngines {
  readonly breaches: Breach[] = [];
  readonly alive = new Map<string, ModelEngine>();
  /** Members that have been ready, by the name, epoch and list of their group. */
  private readonly wasReady = new Set<string>();

  constructor(private readonly options: EnginesOptions) {}

  /** How many heads are open. */
  get openGroups(): number {
    return [...this.alive.values()].filter(
      ({ membership }) => membership?.rank === 0 && membership.state === 'open',
    ).length;
  }

  start(id: string, startedAt: number, staged: readonly string[]): ModelEngine {
    const engine: ModelEngine = {
      id,
      startedAt,
      leaving: false,
      staged,
      membership: undefined,
      seen: undefined,
      lastModel: undefined,
      readyAt: Infinity,
      openAt: Infinity,
      closedAt: Infinity,
      brokenAt: Infinity,
    };
    this.alive.set(id, engine);
    this.options.onChange(engine);
    return engine;
  }

  end(id: string): void {
    this.alive.delete(id);
  }

  /** Carries out an order as the engine does on its arrival; `origin` tells of it in a breach. */
  take(id: string, order: EngineOrder, origin: string): OrderOutcome {
    const engine = this.alive.get(id);
    if (engine === undefined) return { kind: 'gone' };
    if (order.kind === 'stage') {
      engine.staged = [order.model];
      this.options.onChange(engine);
      return { kind: 'accepted' };
    }
    const { membership } = engine;
    const isOwn = membership?.group === order.group && membership.epoch === order.epoch;
    if (order.kind === 'join') return this.join(engine, order, isOwn, origin);
    if (!isOwn) return REFUSED;
    const now = this.options.now();
    const { formMs, closeMs } = this.options.times;
    switch (order.kind) {
      case 'open':
        if (membership.rank !== 0 || membership.state !== 'ready') return REFUSED;
        engine.openAt = Math.min(engine.openAt, now + formMs);
        return { kind: 'accepted' };
      case 'close':
        engine.openAt = Infinity;
        if (membership.state !== 'open') return REFUSED;
        engine.closedAt = now + (order.preempt ? 0 : closeMs);
        this.show(engine, 'closing');
        return { kind: 'accepted' };
      case 'leave':
        this.reset(engine);
        this.options.onChange(engine);
        return { kind: 'done' };
    }
  }

  /** Does what is due at the engines. */
  advance(): void {
    const now = this.options.now();
    for (const engine of this.alive.values()) {
      if (engine.readyAt <= now) this.becomeReady(engine);
      if (engine.openAt <= now) this.open(engine);
      if (engine.closedAt <= now) {
        engine.closedAt = Infinity;
        this.show(engine, 'ready');
      }
      if (isServing(engine)) {
        if (this.hasLostMember(engine))
          engine.brokenAt = Math.min(engine.brokenAt, now + this.options.times.stallMs);
        if (engine.brokenAt <= now) {
          this.reset(engine, engine.membership);
          this.show(engine, 'broken');
        }
      }
    }
  }

  describe(): string {
    return [...this.alive.values()]
      .map(({ id, leaving, membership }) => {
        const state = membership
          ? `${membership.group}/${membership.rank}:${membership.state}`
          : '-';
        return `${id}${leaving ? '(leaving)' : ''} ${state}`;
      })
      .join(', ');
  }

  private join(
    engine: ModelEngine,
    order: Extract<EngineOrder, { kind: 'join' }>,
    isOwn: boolean,
    origin: string,
  ): OrderOutcome {
    const { group, epoch, model, members } = order;
    const { seen } = engine;
    if (seen && epoch < seen.epoch) return OUTDATED;
    const isSeen = seen?.group === group && seen.epoch === epoch;
    if (isSeen && seen.members.join() !== members.join()) return OUTDATED;
    if (isOwn) return { kind: 'done' };
    const head = this.headOf(engine);
    if (head && isServing(head)) {
      const own = engine.membership?.group ?? '';
      const text = `${engine.id} joins ${group} while ${head.id}, the head of its group ${own}, is ${head.membership?.state ?? ''} (${origin})`;
      this.breaches.push({ rule: 'TWO', at: this.options.now(), text });
    }
    const { joinMs, warmMs, loadMs } = this.options.times;
    this.reset(engine, { group, epoch, rank: members.indexOf(engine.id), state: 'joining' });
    engine.seen = { group, epoch, model, members };
    const isStaged = engine.staged.includes(model);
    const unevenMs = this.options.isUneven ? (engine.startedAt % 4) * warmMs : 0;
    const slowMs = isStaged ? warmMs + unevenMs : loadMs;
    if (!isStaged) engine.staged = [model];
    engine.readyAt = this.options.now() + (engine.lastModel === model ? joinMs : slowMs);
    this.options.onChange(engine);
    return { kind: 'accepted' };
  }

  private becomeReady(engine: ModelEngine): void {
    engine.readyAt = Infinity;
    engine.lastModel = engine.seen?.model;
    this.wasReady.add(readyKey(engine, engine.id));
    this.show(engine, 'ready');
  }

  private open(engine: ModelEngine): void {
    engine.openAt = Infinity;
    this.show(engine, 'open');
    const { model = '', members = [] } = engine.seen ?? {};
    const missing = members.filter((id) => !this.wasReady.has(readyKey(engine, id)));
    if (missing.length === 0 && members.length === this.options.sizes[model]) return;
    const group = engine.membership?.group ?? '';
    const text = `${group} of ${members.join()} opens; never ready: ${missing.join()}`;
    this.breaches.push({ rule: 'PARTIAL', at: this.options.now(), text });
  }

  /** The head of the group that `engine` is in, if it is in it as well. */
  private headOf({ membership, seen }: ModelEngine): ModelEngine | undefined {
    const head = this.alive.get(seen?.members[0] ?? '');
    return membership && head && isIn(head, membership) ? head : undefined;
  }

  /** Whether a member has died, left, or joined again. */
  private hasLostMember({ membership, seen }: ModelEngine): boolean {
    return (seen?.members ?? []).some((id) => {
      const member = this.alive.get(id);
      const isReady = member?.membership?.state !== 'joining';
      return !(member && membership && isIn(member, membership) && isReady);
    });
  }

  private reset(engine: ModelEngine, membership?: GroupMembership): void {
    engine.membership = membership;
    engine.readyAt = Infinity;
    engine.openAt = Infinity;
    engine.closedAt = Infinity;
    engine.brokenAt = Infinity;
  }

  private show(engine: ModelEngine, state: GroupMembership['state']): void {
    if (engine.membership) engine.membership = { ...engine.membership, state };
    this.options.onChange(engine);
  }
}

function isServing({ membership }: ModelEngine): boolean {
  return membership?.rank === 0 && ['open', 'closing'].includes(membership.state);
}

function isIn(engine: ModelEngine, { group, epoch }: GroupMembership): boolean {
  return engine.membership?.group === group && engine.membership.epoch === epoch;
}

function readyKey({ seen }: ModelEngine, id: string): string {
  return `${id} ${seen?.group} ${seen?.epoch} ${seen?.members.join()}`;
}
