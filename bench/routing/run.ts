/**
 * One run: several entries, each with its own balancer, before the same engines.
 */
import type { SentCount } from '../../src/board/index.js';
import type { Candidate } from '../../src/controllers/routing/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { createBalancer, type Balancer, type BalancerName } from './balancers.js';
import { Engine, type EngineShape } from './engine.js';
import { Timeline } from './timeline.js';
import { drawArrivals, type Arrival, type Workload } from './workload.js';

export interface Scenario {
  workload: Workload;
  engines: number;
  entries: number;
  /** How old the newest report is that an entry has seen. */
  reportLagMs: number;
  /** The first engine does everything so many times slower and reports its usual speeds. */
  slowness?: number;
}

export interface RunResult {
  answered: number;
  refused: number;
  p50Ms: number;
  p95Ms: number;
  p99Ms: number;
  /** The same without the flooding workspace and what came before it. */
  othersP95Ms: number;
  /** Prompt tokens that had to be prefilled, as a part of all. */
  prefilledPart: number;
}

const FAILURE_DOMAINS = 3;
const REPORT_EVERY_MS = 250;
const DIGEST_EVERY_MS = 500;
const SHAPE: EngineShape = {
  batchSize: 16,
  prefillMsPerToken: 0.25,
  decodeMsPerToken: 25,
  cacheBlocks: 320,
};
/** Runs on after the last arrival, for what is still waiting. */
const TAIL_MS = 60_000;

interface EntryModel {
  failureDomain: string;
  balancer: Balancer;
  sent: Map<string, SentCount>;
  published: SentCount[];
}

export function runScenario(scenario: Scenario, balancer: BalancerName): RunResult {
  const world = new RoutingWorld(scenario, balancer);
  return world.run();
}

class RoutingWorld {
  private readonly timeline = new Timeline();
  private readonly random: ReturnType<typeof createRandom>;
  private readonly engines: Engine[];
  private readonly entries: EntryModel[];
  private readonly arrivals: Arrival[];
  private readonly byTicket = new Map<string, Arrival>();
  private readonly firstTokenMs = new Map<string, number>();
  private refused = 0;

  constructor(
    private readonly scenario: Scenario,
    balancer: BalancerName,
  ) {
    this.random = createRandom(scenario.workload.seed + 7);
    this.engines = Array.from({ length: scenario.engines }, () => new Engine(this.timeline, SHAPE));
    const [slow] = this.engines;
    if (slow) slow.slowness = scenario.slowness ?? 1;
    this.entries = Array.from({ length: scenario.entries }, (_, index) =>
      this.createEntry(index, balancer),
    );
    this.arrivals = drawArrivals(scenario.workload);
  }

  run(): RunResult {
    const end = this.scenario.workload.spanMs + TAIL_MS;
    this.every(REPORT_EVERY_MS, end, () => {
      this.report();
    });
    this.every(DIGEST_EVERY_MS, end, () => {
      this.publishSent();
    });
    for (const arrival of this.arrivals) {
      const entry = this.entries[this.random.below(this.entries.length)];
      this.byTicket.set(arrival.ticket, arrival);
      this.timeline.at(arrival.at, () => entry?.balancer.offer(arrival));
    }
    this.timeline.run(end);
    return this.measure();
  }

  private createEntry(index: number, name: BalancerName): EntryModel {
    const failureDomain = `domain-${index % FAILURE_DOMAINS}`;
    const sent = new Map<string, SentCount>();
    const balancer = createBalancer(name, {
      timeline: this.timeline,
      random: createRandom(this.scenario.workload.seed + 100 + index),
      entries: this.scenario.entries,
      here: { region: 'region', failureDomain },
      send: (ticket, replica, isCrowding) => {
        this.send(index, ticket, replica, isCrowding);
      },
      refuse: () => {
        this.refused += 1;
      },
    });
    return { failureDomain, balancer, sent, published: [] };
  }

  private send(entryIndex: number, ticket: string, replica: string, isCrowding: boolean): void {
    const arrival = this.byTicket.get(ticket);
    const entry = this.entries[entryIndex];
    const index = Number(replica.split('-')[1]);
    if (!arrival || !entry) return;
    this.countSent(entry, replica, arrival);
    const network = this.networkMs(entry, index);
    this.timeline.after(network, () => {
      this.engines[index]?.accept({
        ...arrival,
        isCrowding,
        onFirstToken: () => {
          this.timeline.after(network, () => {
            this.firstTokenMs.set(ticket, this.timeline.now - arrival.at);
            entry.balancer.firstToken(ticket);
          });
        },
        onEnd: () => {
          this.timeline.after(network, () => {
            entry.balancer.end(ticket);
          });
        },
      });
    });
  }

  private countSent(entry: EntryModel, replica: string, arrival: Arrival): void {
    const known = entry.sent.get(replica);
    entry.sent.set(replica, {
      replica,
      requests: (known?.requests ?? 0) + 1,
      promptTokens: (known?.promptTokens ?? 0) + arrival.promptTokens,
      outputTokens: (known?.outputTokens ?? 0) + arrival.maxTokens,
    });
  }

  private report(): void {
    for (const engine of this.engines) engine.report();
    for (const entry of this.entries) {
      const peersSent = this.entries.filter((one) => one !== entry).flatMap((one) => one.published);
      entry.balancer.refresh(this.listCandidates(), peersSent);
    }
  }

  private publishSent(): void {
    for (const entry of this.entries) {
      entry.published = [...entry.sent.values()];
      entry.sent.clear();
    }
  }

  private listCandidates(): Candidate[] {
    const seen = this.timeline.now - this.scenario.reportLagMs;
    return this.engines.map((engine, index) => {
      const snapshot = engine.snapshots.findLast((one) => one.at <= seen);
      return {
        replica: `replica-${index}`,
        model: 'chat',
        fence: 1,
        leader: `engine-${index}`,
        address: '127.0.0.1:1',
        members: [`engine-${index}`],
        location: {
          region: 'region',
          failureDomain: `domain-${index % FAILURE_DOMAINS}`,
        },
        load: snapshot && { load: snapshot.load, measuredAt: snapshot.at },
      };
    });
  }

  private networkMs(entry: EntryModel, engine: number): number {
    return entry.failureDomain === `domain-${engine % FAILURE_DOMAINS}` ? 0.3 : 1.2;
  }

  private every(span: number, until: number, run: () => void): void {
    run();
    if (this.timeline.now + span > until) return;
    this.timeline.after(span, () => {
      this.every(span, until, run);
    });
  }

  private measure(): RunResult {
    const { flood } = this.scenario.workload;
    const all = [...this.firstTokenMs.values()].sort((one, other) => one - other);
    const others = this.arrivals
      .filter((one) => one.workspace !== 'flood' && one.at >= (flood?.at ?? 0))
      .map((one) => this.firstTokenMs.get(one.ticket) ?? Number.POSITIVE_INFINITY)
      .sort((one, other) => one - other);
    const prompts = this.arrivals.reduce((sum, one) => sum + one.promptTokens, 0);
    const prefilled = this.engines.reduce((sum, engine) => sum + engine.prefilledTokens, 0);
    return {
      answered: all.length,
      refused: this.refused,
      p50Ms: percentile(all, 0.5),
      p95Ms: percentile(all, 0.95),
      p99Ms: percentile(all, 0.99),
      othersP95Ms: percentile(others, 0.95),
      prefilledPart: prefilled / prompts,
    };
  }
}

function percentile(sorted: readonly number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? Number.NaN;
}
