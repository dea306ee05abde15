/**
 * The request path of one entry with real listeners and stand-in engines and services. Board sections
 * that other parts would write are filled by the fixture.
 */
import { createHash } from 'node:crypto';
import { createCallers, type Callers } from '../../src/adapters/callers/index.js';
import { createEngineClient, type EngineClient } from '../../src/adapters/engines/index.js';
import type { Platform } from '../../src/adapters/platform/index.js';
import { createServices, type Services } from '../../src/adapters/services/index.js';
import { createBoard, type BoardWriters } from '../../src/board/index.js';
import type { OnceCalls, OnceOutcome, SendOutcome } from '../../src/controllers/calls/index.js';
import { createEligibleReplicas } from '../../src/controllers/health/index.js';
import { createSystemClock } from '../../src/core/clock/index.js';
import { createBufferedBytesTracker } from '../../src/core/buffered-bytes/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createMetrics } from '../../src/core/metrics/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { entrySettingsSchema } from '../../src/core/settings/index.js';
import { createHealthPart, type HealthPart } from '../../src/entry/health/index.js';
import {
  createRequestQuarantine,
  createRequests,
  type RequestQuarantine,
  type Requests,
} from '../../src/entry/requests/index.js';
import type { EntryContext } from '../../src/entry/types.js';
import {
  instanceSchema,
  modelSchema,
  serviceSchema,
  workspaceSchema,
  type DomainPlan,
} from '../../src/objects/index.js';
import { createEngineStandIn, type EngineStandIn } from '../../src/stand-ins/engine/index.js';
import { createServiceStandIn, type ServiceStandIn } from '../../src/stand-ins/service/index.js';
import { waitFor } from '../support/waiting.js';

export const MODEL = 'pass-assistant';
export const KEY = 'market-key';
export const MAX_BODY_BYTES = 4_096;
export const BODY_TIMEOUT_MS = 300;
const UNUSED_ADDRESS = '127.0.0.1:0';
const UNLIMITED = { requestsPerSecond: 1e6, tokensPerSecond: 1e9, concurrentRequests: 1e6 };
const ENGINES = ['engine-1', 'engine-2'];
const SERVICES = ['gate-1', 'gate-2'];

/** An entry with its backend servers and a listener for callers. */
export class EntryFixture {
  readonly board: BoardWriters = createBoard();
  readonly engines: EngineStandIn[] = [];
  readonly services: ServiceStandIn[] = [];
  readonly onceRuns: string[] = [];
  readonly context: EntryContext;
  readonly requests: Requests;
  readonly callers: Callers;
  readonly health: HealthPart;
  readonly quarantine: RequestQuarantine;
  readonly #client: EngineClient;
  readonly #services: Services = createServices();
  readonly unread = createBufferedBytesTracker();
  address = '';

  constructor() {
    this.#client = createEngineClient({}, this.unread);
    this.context = createContext(this.board, this.#client);
    this.health = createHealthPart(this.context);
    this.quarantine = createRequestQuarantine(this.context);
    this.requests = createRequests(this.context, {
      services: this.#services,
      onceCalls: createOnceCallsFake(),
      eligible: createEligibleReplicas(this.board, this.context.settings.health.freshMs),
      health: this.health,
      quarantine: this.quarantine,
      metrics: createMetrics(),
      hasBeenReady: () => this.board.configuration.read().revision > 0,
    });
    this.callers = createCallers({
      address: UNUSED_ADDRESS,
      settings: this.context.settings.callers,
      path: this.requests.path,
      readiness: () => undefined,
      isStopping: () => this.requests.isStopping(),
      unread: this.unread,
      logger: silentLogger,
    });
  }

  async start(): Promise<void> {
    for (const instance of ENGINES) {
      const engine = await createEngineStandIn({
        instance,
        loadMs: 1,
        startMs: 1,
        decodeMsPerToken: 1,
      });
      this.engines.push(engine._unsafeUnwrap());
    }
    for (const instance of SERVICES) {
      const service = await createServiceStandIn({ instance });
      this.services.push(service._unsafeUnwrap());
    }
    this.writeConfiguration();
    this.writeFleet([...this.engines, ...this.services]);
    for (const engine of this.engines) await this.formReplica(engine);
    this.board.plans.write(new Map([['fabric-1', { version: 1, value: this.#describePlan() }]]));
    this.requests.start();
    this.health.start();
    this.address = (await this.callers.listen())._unsafeUnwrap();
    await waitFor('all replicas to be eligible', () => this.#countEligible() === ENGINES.length);
  }

  async stop(): Promise<void> {
    await this.callers.close();
    await this.health.stop();
    await this.requests.stop();
    await Promise.all([this.#client.close(), this.#services.close()]);
    await Promise.all([...this.engines, ...this.services].map((server) => server.stop()));
  }

  /** Takes every replica out of service. */
  removeReplicas(): void {
    this.board.plans.write(new Map());
  }

  listAttempts(): ReturnType<EngineStandIn['journal']>['attempts'] {
    return this.engines.flatMap((engine) => [...engine.journal().attempts]);
  }

  countRuns(): number {
    return this.services.reduce((sum, service) => sum + service.journal().runCount, 0);
  }

  writeFleet(servers: readonly { instance: string; address: string }[]): void {
    const instances = servers.map(({ instance, address }) => {
      const isEngine = instance.startsWith('engine');
      const value = instanceSchema.parse({
        role: isEngine ? 'engine' : 'service',
        address,
        failureDomain: 'west',
        fabricDomain: isEngine ? 'fabric-1' : undefined,
        labels: { app: isEngine ? 'model' : 'gate' },
      });
      return [instance, value] as const;
    });
    this.board.fleet.write({ revision: 1, instances: new Map(instances), leaving: new Set() });
  }

  /** Sets the limit of concurrent requests of workspace "market" at this entry. */
  writeLimits(concurrentRequests: number): void {
    this.board.limits.write(new Map([['market', { ...UNLIMITED, concurrentRequests }]]));
  }

  writeConfiguration(): void {
    const version = 1;
    const model = modelSchema.parse({ replicas: 2, labels: { tier: 'open' } });
    const hidden = modelSchema.parse({ replicas: 1, labels: { tier: 'closed' } });
    const rules = [
      { method: 'POST', pathPrefix: '/check-ins', handling: 'once' },
      { method: 'POST', pathPrefix: '/echo', handling: 'repeatable' },
    ];
    const selector = [{ key: 'app', operator: 'in', values: ['gate'] }];
    const labels = { tier: 'open' };
    const gate = serviceSchema.parse({ rules, selector, labels, timeoutMs: 2_000 });
    const workspace = workspaceSchema.parse({
      keyHashes: [createHash('sha256').update(KEY).digest('hex')],
      classes: ['gate', 'interactive'],
      selector: [{ key: 'tier', operator: 'in', values: ['open'] }],
    });
    this.board.configuration.write({
      ...this.board.configuration.read(),
      revision: 1,
      models: new Map([
        [MODEL, { version, value: model }],
        ['hidden', { version, value: hidden }],
      ]),
      services: new Map([['gate', { version, value: gate }]]),
      workspaces: new Map([['market', { version, value: workspace }]]),
    });
    this.writeLimits(UNLIMITED.concurrentRequests);
  }

  async formReplica({ instance, incarnation, address }: EngineStandIn): Promise<void> {
    const order = {
      kind: 'form' as const,
      fence: 1,
      replica: `replica-of-${instance}`,
      model: MODEL,
      weights: '1',
      adapters: [],
      rank: 0,
      members: [{ instance, incarnation, address }],
    };
    (await this.#client.order(address, order, 2_000))._unsafeUnwrap();
  }

  #describePlan(): DomainPlan {
    const replicas = this.engines.map(({ instance, incarnation }) => ({
      id: `replica-of-${instance}`,
      model: MODEL,
      weights: '1',
      fence: 1,
      phase: 'whole' as const,
      members: [{ instance, incarnation }],
    }));
    return { fence: 1, replicas, spares: [] };
  }

  #countEligible(): number {
    const { freshMs } = this.context.settings.health;
    return createEligibleReplicas(this.board, freshMs).list(MODEL, this.context.clock.now()).length;
  }
}

function createContext(board: BoardWriters, engines: EngineClient): EntryContext {
  const settings = entrySettingsSchema.parse({
    name: 'entry-1',
    failureDomain: 'west',
    listen: { callers: UNUSED_ADDRESS, operators: UNUSED_ADDRESS, peers: UNUSED_ADDRESS },
    platform: { address: UNUSED_ADDRESS },
    callers: { maxBodyBytes: MAX_BODY_BYTES, bodyTimeoutMs: BODY_TIMEOUT_MS, queueLength: 1_000 },
    health: { probeEveryMs: 100 },
  });
  return {
    identity: {
      name: 'entry-1',
      incarnation: '1',
      address: UNUSED_ADDRESS,
      peerAddress: UNUSED_ADDRESS,
      region: 'default',
      failureDomain: 'west',
    },
    settings,
    board,
    writers: board,
    clock: createSystemClock(),
    random: createRandom(7),
    logger: silentLogger,
    // The request path does not call the platform directly.
    platform: {} as Platform,
    engines,
  };
}

/** Stores outcomes in memory instead of in the platform. */
function createOnceCallsFake(): OnceCalls {
  const stored = new Map<string, OnceOutcome>();
  return {
    run: async ({ key }, send) => {
      const previous = stored.get(key);
      if (previous?.kind === 'answered') return { ...previous, replayed: true };
      const outcome = toOnceOutcome(await send());
      stored.set(key, outcome);
      return outcome;
    },
  };
}

function toOnceOutcome(sent: SendOutcome): OnceOutcome {
  if (sent.kind === 'answered') return { ...sent, replayed: false };
  return { kind: 'failed', failure: sent.failure };
}
