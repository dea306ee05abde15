/**
 * Engines of one fabric domain in manual time: what orders make of them and what they report.
 *
 * Only what the planner can see is modelled: loading takes a fixed time, a replica is ready when all
 * its members are up and loaded, and a member that is missed makes the others report `failed`.
 */
import type { EngineReport, Order } from '../../src/adapters/engines/index.js';
import type { Milliseconds } from '../../src/core/clock/index.js';
import type { Instance } from '../../src/objects/index.js';

/** One engine. Changed in place by the world alone. */
export interface WorldEngine {
  name: string;
  instance: Instance;
  /** `paused` keeps its state and answers nothing; `down` loses it. */
  condition: 'up' | 'paused' | 'down';
  starts: number;
  formed: Extract<Order, { kind: 'form' }> | undefined;
  loadedAt: Milliseconds;
  state: EngineReport['state'];
  fence: number;
  inFlight: number;
}

/** How the engines treat an order with an old number. */
export type WorldFencing = 'checked' | 'ignored';

/** The engines by name. */
export interface EngineWorld {
  engines: ReadonlyMap<string, WorldEngine>;
  /** Takes effect at once; false when the engine did not take it. */
  order: (name: string, order: Order, now: Milliseconds) => boolean;
  /** Undefined from an engine that is not up. */
  report(name: string, now: Milliseconds): EngineReport | undefined;
  /** Lets the engines of each replica notice one another. */
  settle(now: Milliseconds): void;
  pause(name: string): void;
  wake(name: string): void;
  kill(name: string): void;
  restart(name: string): void;
}

/** What a world is made of. */
export interface WorldOptions {
  names: readonly string[];
  fabricDomain: string;
  loadMs: Milliseconds;
  fencing: WorldFencing;
}

/** A world of idle engines. */
export function createEngineWorld(options: WorldOptions): EngineWorld {
  const { names, fabricDomain, loadMs, fencing } = options;
  const engines = new Map(names.map((name) => [name, createEngine(name, fabricDomain)]));

  function find(name: string): WorldEngine {
    const engine = engines.get(name);
    if (engine === undefined) throw new Error(`no engine ${name}`);
    return engine;
  }

  function isPresent(engine: WorldEngine): boolean {
    const { formed } = engine;
    if (formed === undefined) return false;
    return formed.members.every((member) => {
      const other = engines.get(member.instance);
      if (other?.condition !== 'up' || nameStart(other) !== member.incarnation) return false;
      return other.formed?.replica === formed.replica && other.formed.fence === formed.fence;
    });
  }

  function isLoaded(engine: WorldEngine, now: Milliseconds): boolean {
    return (engine.formed?.members ?? []).every(
      ({ instance }) => (engines.get(instance)?.loadedAt ?? Infinity) <= now,
    );
  }

  function obey(engine: WorldEngine, order: Order, now: Milliseconds): boolean {
    switch (order.kind) {
      case 'form': {
        const place = order.members[order.rank];
        if (place?.incarnation !== nameStart(engine)) return false;
        engine.formed = order;
        engine.loadedAt = now + loadMs;
        engine.state = 'loading';
        return true;
      }
      case 'drain':
        if (engine.state === 'ready') engine.state = 'draining';
        return true;
      case 'release':
        if (engine.formed !== undefined && engine.formed.replica !== order.replica) return false;
        engine.formed = undefined;
        engine.state = 'idle';
        return true;
      case 'loadAdapter':
        return true;
    }
  }

  return {
    engines,
    order: (name, order, now) => {
      const engine = find(name);
      if (engine.condition !== 'up') return false;
      if (fencing === 'checked' && order.fence < engine.fence) return false;
      engine.fence = Math.max(engine.fence, order.fence);
      return obey(engine, order, now);
    },
    report: (name) => {
      const engine = find(name);
      return engine.condition === 'up' ? describeEngine(engine) : undefined;
    },
    settle: (now) => {
      for (const engine of engines.values()) {
        if (engine.condition !== 'up' || engine.formed === undefined) continue;
        if (engine.state === 'ready' && !isPresent(engine)) engine.state = 'failed';
        if (engine.state !== 'loading' || !isPresent(engine)) continue;
        if (isLoaded(engine, now)) engine.state = 'ready';
      }
    },
    pause: (name) => {
      if (find(name).condition === 'up') find(name).condition = 'paused';
    },
    wake: (name) => {
      if (find(name).condition === 'paused') find(name).condition = 'up';
    },
    kill: (name) => {
      find(name).condition = 'down';
    },
    restart: (name) => {
      const engine = find(name);
      const { starts } = engine;
      Object.assign(engine, createEngine(name, fabricDomain), { starts: starts + 1 });
    },
  };
}

function createEngine(name: string, fabricDomain: string): WorldEngine {
  const instance: Instance = {
    role: 'engine',
    address: '127.0.0.1:1',
    state: 'live',
    region: 'default',
    failureDomain: 'domain-a',
    fabricDomain,
    labels: {},
  };
  return {
    name,
    instance,
    condition: 'up',
    starts: 1,
    formed: undefined,
    loadedAt: Number.POSITIVE_INFINITY,
    state: 'idle',
    fence: 0,
    inFlight: 0,
  };
}

function nameStart(engine: WorldEngine): string {
  return `${engine.name}-${engine.starts}`;
}

function describeEngine(engine: WorldEngine): EngineReport {
  const { formed } = engine;
  const report: EngineReport = {
    instance: engine.name,
    incarnation: nameStart(engine),
    state: engine.state,
    fence: engine.fence,
    leaving: engine.instance.state === 'leaving',
    inFlight: engine.inFlight,
    adapters: [],
    cacheSequence: 0,
  };
  if (formed === undefined) return report;
  const { replica: id, fence, model, weights, rank, members } = formed;
  return { ...report, replica: { id, fence, model, weights, rank, size: members.length } };
}
