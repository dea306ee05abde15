/**
 * A thin model of a large fleet: gateways with late news place streams on replicas that come and go.
 *
 * Decisions under test are passed in; everything else is the same for the same seed.
 */
import type { Milliseconds } from '../../src/core/clock/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';
import {
  ageSpeedReports,
  mergeSpeedReports,
  ServerSpeeds,
  type SpeedReport,
  type TargetSpeed,
} from '../../src/controllers/speed/index.js';

/** A deployment and its load. */
export interface FleetOptions {
  gateways: number;
  failureDomains: number;
  replicas: number;
  slots: number;
  requestsPerSecond: number;
  /** Mean duration of a stream on a replica with all slots in use. */
  streamMs: Milliseconds;
  /** From the start of a request at a free slot to its first event. */
  firstEventMs: Milliseconds;
  targetMs: Milliseconds;
  /** Interval at which gateways report to the hub of their failure domain and hear from it. */
  hubIntervalMs: Milliseconds;
  /** Interval between hubs. */
  crossIntervalMs: Milliseconds;
  /** Time from one loss of a replica to the next; 0 for none. */
  lossIntervalMs: Milliseconds;
  /** Time from the loss of a replica until another one serves in its place. */
  repairMs: Milliseconds;
  /** Time until gateways notice that a replica has stalled. */
  noticeMs: Milliseconds;
  seconds: number;
  /** Replicas that become slow for some time; absent if all keep their speed. */
  slowSpells?: SlowSpells;
}

/** Times for which single replicas take a multiple of the usual times. */
export interface SlowSpells {
  /** Time from the beginning of one spell to that of the next, at any replica. */
  intervalMs: Milliseconds;
  durationMs: Milliseconds;
  minFactor: number;
  maxFactor: number;
}

/** What gateways learn of the speeds of replicas, and whether they tell each other. */
export type SpeedLearning = 'none' | 'own' | 'shared' | 'exact';

/** A replica as one gateway knows it when it places a request. */
export interface ReplicaView {
  id: number;
  isNear: boolean;
  /** Own requests in flight and those that others had when they last reported. */
  inFlight: number;
  slots: number;
  /** Time since the gateways learned that it serves. */
  openForMs: Milliseconds;
  /** Absent while it counts as usual. */
  speed?: TargetSpeed;
}

/** Returns the chosen replica, or undefined when there is none. */
export type Placement = (replicas: readonly ReplicaView[], random: Random) => number | undefined;

/** Shares of all requests. */
export interface FleetOutcome {
  onTime: number;
  /** First events later than four times the target. */
  veryLate: number;
  unserved: number;
  /** First events from replicas while they were slow. */
  fromSlow: number;
}

interface Replica {
  id: number;
  domain: number;
  openedAt: Milliseconds;
  lostAt: Milliseconds;
  running: number;
  queue: PlacedRequest[];
  slowFactor: number;
  slowUntil: Milliseconds;
}

interface PlacedRequest {
  gateway: Gateway;
  arrivedAt: Milliseconds;
  durationMs: Milliseconds;
  attempts: number;
}

interface Gateway {
  domain: number;
  own: Map<number, number>;
  reported: ReadonlyMap<number, number>;
  heard: ReadonlyMap<number, number>;
  speeds: ServerSpeeds;
  reportedSpeeds: readonly SpeedReport[];
  reportedAt: Milliseconds;
}

/** What a hub last told the others of the speeds in its failure domain. */
interface SpeedSummary {
  reports: readonly SpeedReport[];
  at: Milliseconds;
}

interface ScheduledEvent {
  at: Milliseconds;
  run: () => void;
}

const MAX_ATTEMPTS = 2;
const CALLER_PATIENCE_MS: Milliseconds = 2_000;
const WARM_UP_MS: Milliseconds = 4_000;
const VERY_LATE_MULTIPLE = 4;
const MS_PER_SECOND = 1_000;
/** Interval at which a gateway compares the gaps between the events of a stream. */
const GAP_INTERVAL_MS: Milliseconds = 300;
const REFRESH_INTERVAL_MS: Milliseconds = 250;
const MODEL_GROUP = 'models';

/** Plays the fleet with `place` deciding where each request goes. */
export function playFleet(
  options: FleetOptions,
  place: Placement,
  seed: number,
  learning: SpeedLearning = 'none',
): FleetOutcome {
  const random = createRandom(seed);
  const placementRandom = createRandom(seed + 1);
  const spellRandom = createRandom(seed + 2);
  const noiseRandom = createRandom(seed + 3);
  const events = new EventQueue();
  let now = 0;
  let nextId = 0;
  const replicas = new Map<number, Replica>();
  const endsAt = options.seconds * MS_PER_SECOND;
  const counts = { all: 0, onTime: 0, veryLate: 0, unserved: 0, fromSlow: 0 };

  const openReplica = (domain: number): void => {
    const id = nextId++;
    replicas.set(id, {
      id,
      domain,
      openedAt: now,
      lostAt: Infinity,
      running: 0,
      queue: [],
      slowFactor: 1,
      slowUntil: 0,
    });
  };
  for (let index = 0; index < options.replicas; index += 1)
    openReplica(index % options.failureDomains);
  for (const replica of replicas.values()) replica.openedAt = -Infinity;
  const gateways = Array.from({ length: options.gateways }, (_, index): Gateway => ({
    domain: index % options.failureDomains,
    own: new Map(),
    reported: new Map(),
    heard: new Map(),
    speeds: new ServerSpeeds(),
    reportedSpeeds: [],
    reportedAt: 0,
  }));
  /** What each hub last heard from each other hub. */
  const summaries = Array.from({ length: options.failureDomains }, () =>
    Array.from({ length: options.failureDomains }, (): ReadonlyMap<number, number> => new Map()),
  );
  const sumDomain = (domain: number, except?: Gateway): Map<number, number> => {
    const sum = new Map<number, number>();
    for (const gateway of gateways)
      if (gateway.domain === domain && gateway !== except) addAll(sum, gateway.reported);
    return sum;
  };
  const speedSummaries = Array.from({ length: options.failureDomains }, (): SpeedSummary => ({
    reports: [],
    at: 0,
  }));
  const mergeDomainSpeeds = (domain: number, except?: Gateway): SpeedReport[] =>
    mergeSpeedReports(
      gateways
        .filter((gateway) => gateway.domain === domain && gateway !== except)
        .flatMap((gateway) => ageSpeedReports(gateway.reportedSpeeds, now - gateway.reportedAt)),
    );
  const exchangeSpeeds = (gateway: Gateway): void => {
    gateway.speeds.adopt(`${gateway.domain}`, mergeDomainSpeeds(gateway.domain, gateway), now);
    speedSummaries.forEach(({ reports, at }, domain) => {
      if (domain !== gateway.domain)
        gateway.speeds.adopt(`${domain}`, ageSpeedReports(reports, now - at), now);
    });
    gateway.reportedSpeeds = gateway.speeds.report(now);
    gateway.reportedAt = now;
  };
  const refreshSpeeds = (): void => {
    const groups = new Map([[MODEL_GROUP, [...replicas.keys()].map(String)]]);
    for (const gateway of gateways) {
      gateway.speeds.refresh(groups, now);
      // A gateway that finds a slow replica itself tells its hub at once.
      if (learning === 'shared' && gateway.speeds.takeNews()) exchangeWithHub(gateway);
    }
  };
  const factorOf = ({ slowFactor, slowUntil }: Replica): number =>
    now < slowUntil ? slowFactor : 1;
  const observe = (
    gateway: Gateway,
    replica: Replica,
    kind: 'firstEvent' | 'eventGaps',
    ratio: number,
  ): void => {
    if (learning === 'none') return;
    // Times vary by the prompts and the lengths of the other requests at the replica.
    const noise = 0.7 + 0.8 * noiseRandom.fraction();
    const use = replica.running / options.slots;
    gateway.speeds.record(
      { server: String(replica.id), group: MODEL_GROUP, kind, ratio: ratio * noise, use },
      now,
    );
  };
  /** When work that takes `workMs` at the usual speed is done, if it begins now. */
  const endOf = (replica: Replica, workMs: Milliseconds): Milliseconds => {
    const slowMs = Math.max(0, replica.slowUntil - now);
    const doneSlowly = slowMs / replica.slowFactor;
    return workMs <= doneSlowly
      ? now + workMs * replica.slowFactor
      : now + slowMs + workMs - doneSlowly;
  };
  const exchangeWithHub = (gateway: Gateway): void => {
    if (learning === 'shared') exchangeSpeeds(gateway);
    const load = sumDomain(gateway.domain, gateway);
    summaries[gateway.domain]?.forEach((summary, domain) => {
      if (domain !== gateway.domain) addAll(load, summary);
    });
    gateway.reported = new Map(gateway.own);
    gateway.heard = load;
  };
  const repeat = (intervalMs: Milliseconds, run: () => void): void => {
    const step = (): void => {
      run();
      events.push({ at: now + intervalMs, run: step });
    };
    events.push({ at: random.fraction() * intervalMs, run: step });
  };

  const record = (request: PlacedRequest, firstEventAt: Milliseconds): void => {
    if (request.arrivedAt < WARM_UP_MS) return;
    const tookMs = firstEventAt - request.arrivedAt;
    counts.all += 1;
    if (tookMs <= options.targetMs) counts.onTime += 1;
    if (tookMs > VERY_LATE_MULTIPLE * options.targetMs) counts.veryLate += 1;
    if (tookMs > CALLER_PATIENCE_MS) counts.unserved += 1;
  };
  const adjustOwn = ({ own }: Gateway, id: number, change: number): void => {
    own.set(id, (own.get(id) ?? 0) + change);
  };
  const startNext = (replica: Replica): void => {
    while (replica.lostAt === Infinity && replica.running < options.slots) {
      const request = replica.queue.shift();
      if (request === undefined) return;
      run(replica, request);
    }
  };
  const run = (replica: Replica, request: PlacedRequest): void => {
    replica.running += 1;
    const firstEventAt = endOf(replica, options.firstEventMs);
    const beganAt = now;
    const wasSlow = now < replica.slowUntil;
    const observeGaps = (): void => {
      if (now >= endsAt || replica.lostAt < now || hasEnded) return;
      observe(request.gateway, replica, 'eventGaps', factorOf(replica));
      events.push({ at: now + GAP_INTERVAL_MS, run: observeGaps });
    };
    let hasEnded = false;
    const end = (): void => {
      hasEnded = true;
      if (replica.lostAt < now) return;
      replica.running -= 1;
      adjustOwn(request.gateway, replica.id, -1);
      startNext(replica);
    };
    events.push({ at: endOf(replica, request.durationMs), run: end });
    events.push({
      at: firstEventAt,
      run: () => {
        if (replica.lostAt <= now) return;
        record(request, firstEventAt);
        if (wasSlow && request.arrivedAt >= WARM_UP_MS) counts.fromSlow += 1;
        if (learning === 'none') return;
        const ratio = (firstEventAt - beganAt) / options.firstEventMs;
        observe(request.gateway, replica, 'firstEvent', ratio);
        events.push({ at: now + GAP_INTERVAL_MS, run: observeGaps });
      },
    });
    // A replica that is lost before the first event keeps its requests until the stall is noticed.
    events.push({
      at: firstEventAt + options.noticeMs,
      run: () => {
        if (replica.lostAt <= firstEventAt) retry(replica, request);
      },
    });
  };
  const retry = (replica: Replica, request: PlacedRequest): void => {
    adjustOwn(request.gateway, replica.id, -1);
    if (request.attempts < MAX_ATTEMPTS) send(request);
    else record(request, Infinity);
  };
  const speedKnownTo = (gateway: Gateway, id: string): TargetSpeed | undefined => {
    if (learning !== 'exact') return gateway.speeds.speedOf(id, now);
    const replica = replicas.get(Number(id));
    const slowness = replica ? factorOf(replica) : 1;
    const isTooSlow = slowness * options.firstEventMs > options.targetMs;
    return slowness > 1 ? { slowness, isTooSlow } : undefined;
  };
  const send = (request: PlacedRequest): void => {
    const { gateway } = request;
    const views: ReplicaView[] = [];
    for (const { id, domain, openedAt, lostAt } of replicas.values()) {
      if (now - lostAt > options.noticeMs) continue;
      const speed = speedKnownTo(gateway, String(id));
      views.push({
        id,
        isNear: domain === gateway.domain,
        inFlight: (gateway.own.get(id) ?? 0) + (gateway.heard.get(id) ?? 0),
        slots: options.slots,
        openForMs: now - openedAt,
        ...(speed && { speed }),
      });
    }
    const chosen = place(views, placementRandom);
    const replica = chosen === undefined ? undefined : replicas.get(chosen);
    if (replica === undefined) {
      record(request, Infinity);
      return;
    }
    request.attempts += 1;
    adjustOwn(gateway, replica.id, 1);
    if (replica.lostAt !== Infinity) {
      events.push({
        at: now + options.noticeMs,
        run: () => {
          retry(replica, request);
        },
      });
      return;
    }
    replica.queue.push(request);
    startNext(replica);
  };
  const loseReplica = (): void => {
    const alive = [...replicas.values()].filter(({ lostAt }) => lostAt === Infinity);
    const replica = alive[random.below(alive.length)];
    if (replica === undefined) return;
    replica.lostAt = now;
    const waiting = replica.queue.splice(0);
    events.push({
      at: now + options.noticeMs,
      run: () => {
        for (const request of waiting) retry(replica, request);
      },
    });
    events.push({
      at: now + options.repairMs,
      run: () => {
        openReplica(replica.domain);
      },
    });
    events.push({
      at: now + 10_000,
      run: () => {
        replicas.delete(replica.id);
      },
    });
  };

  const repeatSpells = ({ intervalMs, durationMs, minFactor, maxFactor }: SlowSpells): void => {
    const begin = (): void => {
      const alive = [...replicas.values()].filter(({ lostAt }) => lostAt === Infinity);
      const replica = alive[spellRandom.below(alive.length)];
      if (replica && now >= replica.slowUntil) {
        replica.slowFactor = minFactor + (maxFactor - minFactor) * spellRandom.fraction();
        replica.slowUntil = now + durationMs * (0.5 + spellRandom.fraction());
      }
      events.push({ at: now + intervalMs, run: begin });
    };
    events.push({ at: intervalMs, run: begin });
  };

  for (const gateway of gateways)
    repeat(options.hubIntervalMs, () => {
      exchangeWithHub(gateway);
    });
  for (let domain = 0; domain < options.failureDomains; domain += 1) {
    repeat(options.crossIntervalMs, () => {
      const sum = sumDomain(domain);
      for (const row of summaries) row[domain] = sum;
      if (learning === 'shared')
        speedSummaries[domain] = { reports: mergeDomainSpeeds(domain), at: now };
    });
  }
  if (options.lossIntervalMs > 0) repeat(options.lossIntervalMs, loseReplica);
  const { slowSpells } = options;
  if (slowSpells) {
    repeatSpells(slowSpells);
  }
  if (learning !== 'none') {
    for (const { speeds } of gateways)
      speeds.recordHeadroom(MODEL_GROUP, options.targetMs / options.firstEventMs);
    repeat(REFRESH_INTERVAL_MS, refreshSpeeds);
  }
  const arrive = (): void => {
    const gateway = gateways[random.below(gateways.length)];
    // Durations are spread as widely as the lengths of answers.
    const durationMs = options.streamMs * (0.2 + 1.6 * random.fraction());
    if (gateway) send({ gateway, arrivedAt: now, durationMs, attempts: 0 });
    const gapMs = (-Math.log(1 - random.fraction()) * MS_PER_SECOND) / options.requestsPerSecond;
    events.push({ at: now + gapMs, run: arrive });
  };
  events.push({ at: 0, run: arrive });
  for (let event = events.pop(); event !== undefined && event.at < endsAt; event = events.pop()) {
    now = event.at;
    event.run();
  }
  const share = (count: number): number => count / Math.max(1, counts.all);
  return {
    onTime: share(counts.onTime),
    veryLate: share(counts.veryLate),
    unserved: share(counts.unserved),
    fromSlow: share(counts.fromSlow),
  };
}

function addAll(total: Map<number, number>, counts: ReadonlyMap<number, number>): void {
  for (const [id, count] of counts) total.set(id, (total.get(id) ?? 0) + count);
}

/** A binary heap of events, earliest first. */
class EventQueue {
  private readonly heap: ScheduledEvent[] = [];

  push(event: ScheduledEvent): void {
    const { heap } = this;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || above.at <= event.at) break;
      heap[index] = above;
      index = parent;
    }
    heap[index] = event;
  }

  pop(): ScheduledEvent | undefined {
    const { heap } = this;
    const [first] = heap;
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) return first;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const lesser = (heap[right]?.at ?? Infinity) < (heap[left]?.at ?? Infinity) ? right : left;
      const below = heap[lesser];
      if (below === undefined || below.at >= last.at) break;
      heap[index] = below;
      index = lesser;
    }
    heap[index] = last;
    return first;
  }
}
