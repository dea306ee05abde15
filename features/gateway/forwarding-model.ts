/**
 * One request forwarded by one gateway that knows plain servers, on a manual clock without a network.
 */
import type { IncomingMessage } from 'node:http';
import { platform } from '../../platform/index.js';
import { createSection } from '../../src/board/index.js';
import {
  applyFleetChanges,
  EMPTY_FLEET,
  planStop,
  type RetryBounds,
  type StopPlan,
} from '../../src/controllers/forwarding/index.js';
import { FleetMembers } from '../../src/controllers/quotas/index.js';
import { createManualClock } from '../../src/core/clock/index.js';
import type { Failure } from '../../src/core/errors/index.js';
import type { InputFirstQueue } from '../../src/core/pending-input/index.js';
import { createRandom } from '../../src/core/random/index.js';
import type {
  AttemptFailure,
  AttemptObserver,
  AttemptRequest,
} from '../../src/gateway/backends/attempt.js';
import { createServerAvailability } from '../../src/gateway/backends/server-availability.js';
import { createBackendTracker } from '../../src/gateway/requests/backend-tracker.js';
import type { Reply } from '../../src/gateway/requests/reply.js';
import {
  RequestForwarder,
  type ForwarderDependencies,
} from '../../src/gateway/requests/request-forwarder.js';
import { createShutdownPolicy } from '../../src/gateway/requests/shutdown.js';
import { createRequestQueues } from '../../src/gateway/requests/request-queues.js';
import type { AdmittedRequest } from '../../src/gateway/requests/types.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import type { Route, ServingService } from '../../src/ports/index.js';
import { createServer } from './planning-model.js';
import { SOUND_LINKS } from './sound-links.js';

export const SERVICE: ServingService = { name: 'app', maxConnections: 10 };
const TICK_MS = 50;
const ROUTE: Route = {
  name: 'check',
  host: 'passes.example',
  pathPrefix: '/check/',
  targets: [{ service: SERVICE.name, weight: 1 }],
  repeatability: 'once',
  resumable: false,
  maxAttempts: 2,
  timeoutMs: 6_000,
  targetMs: 300,
  priority: 1,
  anonymous: true,
};

/** There is no input to wait for. */
const INPUT_IS_READ: Pick<InputFirstQueue, 'add' | 'isSliceOver' | 'unreadMs'> = {
  add: (work) => {
    work();
  },
  isSliceOver: false,
  unreadMs: 0,
};

/** An attempt that was handed to a connection. */
interface SentAttempt {
  request: AttemptRequest;
  observer: AttemptObserver;
}

/** The gateway of one request. */
export class ForwardingModel {
  readonly clock = createManualClock(100_000);
  readonly sent: SentAttempt[] = [];
  /** Attempts whose connection was closed by the gateway. */
  cancelled = 0;
  /** The gateway's own answer to the caller. */
  failure: Failure | undefined;
  readonly deps: ForwarderDependencies;
  private forwarder: RequestForwarder | undefined;
  private readonly stopping = createSection<StopPlan | undefined>(undefined);

  constructor(servers: number, retries: RetryBounds) {
    const changes = Array.from({ length: servers }, (_, index) => ({
      kind: 'present' as const,
      server: { ...createServer(`plain-${index}`), service: SERVICE.name },
    }));
    const fleet = createSection(applyFleetChanges(EMPTY_FLEET, changes, 1, 0, 0));
    const context = this.createContext(fleet, retries);
    const availability = createServerAvailability(context);
    const members = new FleetMembers('gateway-0', 0);
    this.deps = {
      context,
      backends: createBackendTracker(context, members, availability, SOUND_LINKS),
      availability,
      watchdog: { attempts: new Set(), requests: new Set(), latenessMs: () => 0 },
      send: (request: AttemptRequest, observer: AttemptObserver) => {
        this.sent.push({ request, observer });
        const server = request.server;
        const cancel = (): void => {
          this.cancelled += 1;
        };
        return { server, isRelayed: false, cancel, pause: noop, resume: noop };
      },
      links: { isOutOfReach: () => false, recordHeard: noop },
      shutdown: createShutdownPolicy(context),
      queues: createRequestQueues(this.clock, INPUT_IS_READ),
      quarantine: {
        leftMs: () => undefined,
        recordAnswered: noop,
        recordBroken: noop,
        recordClosed: noop,
        recordUnreachable: noop,
      },
      speeds: { time: () => undefined },
      answers: { take: () => true, release: noop },
      inputFirst: INPUT_IS_READ,
    } as unknown as ForwarderDependencies;
  }

  /** Sends a request whose caller waits for `leftMs`. */
  start(leftMs: number): void {
    const now = this.clock.now();
    const request: AdmittedRequest = {
      id: 'request-1',
      caller: { id: 'request-1', promptTokens: 0, maxOutputTokens: 0 },
      incoming: { method: 'GET', url: '/check/in', rawHeaders: [] } as unknown as IncomingMessage,
      body: undefined,
      fingerprint: 'f',
      fingerprints: ['f'],
      route: ROUTE,
      service: SERVICE,
      arrivedAt: now,
      deadline: now + leftMs,
    };
    const reply = {
      isUnsent: true,
      sendFailure: (failure: Failure) => {
        this.failure = failure;
      },
      send: noop,
    } as unknown as Reply;
    this.forwarder = new RequestForwarder(request, reply, this.deps, noop);
    this.forwarder.start();
  }

  /** The last attempt is answered with "not run". */
  refuse(): void {
    const observer = this.sent.at(-1)?.observer;
    const head = platform.requests.decodeResponse(503, ['Not-Executed', '1']);
    observer?.onResponse({ ...head, status: 503, headers: [], framing: 'length' });
    observer?.onEnd();
  }

  /** The gateway is told to stop within `graceMs`. */
  stop(graceMs: number): void {
    this.stopping.write(planStop(this.clock.now(), graceMs));
  }

  leave(): void {
    this.forwarder?.handleCallerDisconnect();
  }

  fail(failure: AttemptFailure): void {
    this.sent.at(-1)?.observer.onFailure(failure);
  }

  pass(ms: number): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.clock.advance(TICK_MS);
      this.forwarder?.onTick(this.clock.now());
    }
  }

  /** A partial gateway context, with what the tested units need. */
  private createContext(
    fleet: GatewayContext['board']['fleet'],
    retries: RetryBounds,
  ): GatewayContext {
    const counter = { inc: noop };
    const context = {
      clock: this.clock,
      random: createRandom(1),
      logger: { log: noop },
      platform,
      metrics: {
        cooldowns: counter,
        retries: counter,
        attempts: counter,
        suspicions: counter,
        requests: counter,
        departures: counter,
        countError: noop,
        timingsOf: () => ({ whole: noop, firstToken: noop }),
      },
      settings: { failureDomain: 'north', retries },
      board: {
        fleet,
        serving: createSection(undefined),
        configurationProof: createSection(undefined),
        stop: this.stopping,
        peers: createSection(new Map()),
        cutOffServices: createSection<readonly string[]>([]),
        evacuations: createSection(undefined),
        peerLoad: createSection({ byServer: new Map(), unheard: 0, isLate: false }),
      },
    };
    return context as unknown as GatewayContext;
  }
}

function noop(): undefined {
  return undefined;
}
