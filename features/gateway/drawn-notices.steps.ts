/**
 * What answers say of their server's availability, decoded and kept, without a network.
 */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { platform } from '../../platform/index.js';
import { createSection, type WritableSection } from '../../src/board/index.js';
import {
  applyFleetChanges,
  EMPTY_FLEET,
  type FleetChange,
  type ServingFleet,
} from '../../src/controllers/forwarding/index.js';
import { FleetMembers } from '../../src/controllers/quotas/index.js';
import { createManualClock, type ManualClock } from '../../src/core/clock/index.js';
import { createRandom } from '../../src/core/random/index.js';
import {
  createServerAvailability,
  type ServerAvailability,
} from '../../src/gateway/backends/server-availability.js';
import {
  createBackendTracker,
  type BackendTracker,
} from '../../src/gateway/requests/backend-tracker.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import type { BackendServer, ServingService } from '../../src/ports/index.js';
import { createServer } from './planning-model.js';
import { SOUND_LINKS } from './sound-links.js';

const SERVICE: ServingService = { name: 'app', maxConnections: 10 };
const NO_SERVERS: ReadonlySet<string> = new Set();
const MS_PER_SECOND = 1_000;
const MAX_COOLDOWN_MS = 3_600_000;

/** One gateway that knows one server. */
class ObservedServer {
  readonly clock: ManualClock = createManualClock(MS_PER_SECOND);
  private readonly fleet: WritableSection<ServingFleet> = createSection(EMPTY_FLEET);
  private readonly availability: ServerAvailability;
  private readonly backends: BackendTracker;
  private server: BackendServer = { ...createServer('server-0'), service: SERVICE.name };

  constructor() {
    const context = this.createContext();
    this.availability = createServerAvailability(context);
    const members = new FleetMembers('gateway-0', this.clock.now());
    this.backends = createBackendTracker(context, members, this.availability, SOUND_LINKS);
    this.appear();
  }

  answer(status: number, headers: string[]): void {
    const { notice } = platform.requests.decodeResponse(status, headers);
    this.availability.record(this.server, notice);
  }

  get mayGetRequests(): boolean {
    return this.backends.choose(SERVICE, undefined, NO_SERVERS) !== undefined;
  }

  appear(): void {
    this.change({ kind: 'present', server: this.server });
  }

  disappear(): void {
    this.change({ kind: 'absent', id: this.server.id });
  }

  restart(): void {
    this.server = { ...this.server, startedAt: (this.server.startedAt ?? 0) + 1 };
    this.appear();
  }

  private change(change: FleetChange): void {
    const known = this.fleet.read();
    const now = this.clock.now();
    this.fleet.write(applyFleetChanges(known, [change], known.revision + 1, now, now));
  }

  /** A partial gateway context, with what the tested units need. */
  private createContext(): GatewayContext {
    const counter = { inc: () => undefined };
    const context = {
      clock: this.clock,
      random: createRandom(1),
      logger: { log: () => undefined },
      metrics: { cooldowns: counter, leavingAnswers: counter },
      settings: { failureDomain: 'north', retries: { ratio: 0.2, windowMs: 10_000, slack: 10 } },
      board: {
        fleet: this.fleet,
        peers: createSection(new Map()),
        cutOffServices: createSection<readonly string[]>([]),
        evacuations: createSection(undefined),
        peerLoad: createSection({ byServer: new Map(), unheard: 0, isLate: false }),
      },
    };
    return context as unknown as GatewayContext;
  }
}

interface NoticeWorld {
  observed: ObservedServer;
  drawnSeries: { runs: number; seed: number };
}

function splitHeader(line: string): string[] {
  const colon = line.indexOf(':');
  return [line.slice(0, colon), line.slice(colon + 1)];
}

When(
  'a server that serves answers {int} with the header {string}',
  function (this: NoticeWorld, status: number, header: string) {
    this.observed = new ObservedServer();
    assert.ok(this.observed.mayGetRequests);
    this.observed.answer(status, splitHeader(header));
  },
);

Then('it is left alone for {int} ms', function (this: NoticeWorld, ms: number) {
  const { observed } = this;
  assert.equal(observed.mayGetRequests, ms === 0);
  if (ms === 0) return;
  observed.clock.advance(ms - 1);
  assert.equal(observed.mayGetRequests, false);
  observed.clock.advance(1);
  assert.ok(observed.mayGetRequests);
});

Then('it may get no requests', function (this: NoticeWorld) {
  assert.equal(this.observed.mayGetRequests, false);
});

Then('it may get more requests', function (this: NoticeWorld) {
  assert.ok(this.observed.mayGetRequests);
});

When('its entry disappears and comes back', function (this: NoticeWorld) {
  this.observed.disappear();
  this.observed.clock.advance(MS_PER_SECOND);
  this.observed.appear();
});

When('it starts again under its id', function (this: NoticeWorld) {
  this.observed.restart();
});

/** A value of the header and the time that it asks for; 0 if it can't be read. */
interface DrawnValue {
  text: string;
  ms: number;
}

const drawnValues: fc.Arbitrary<DrawnValue> = fc.oneof(
  fc.constant({ text: '0', ms: 0 }),
  fc.integer({ min: 1, max: 9 }).map((seconds) => ({ text: String(seconds), ms: seconds * 1_000 })),
  fc.integer({ min: 1, max: 9_999 }).map((ms) => ({ text: (ms / MS_PER_SECOND).toFixed(3), ms })),
  fc
    .bigInt({ min: 10_000n, max: 10n ** 400n })
    .map((big) => ({ text: String(big), ms: MAX_COOLDOWN_MS })),
  fc
    .string()
    .filter((text) => !/^\s*[\d.]+\s*$/.test(text))
    .map((text) => ({ text, ms: 0 })),
);

const drawnSteps = fc.record({
  afterMs: fc.integer({ min: 0, max: 3_000 }),
  status: fc.constantFrom(200, 429, 500, 503, 503, 503),
  /** Headers of one answer; none, one or several. */
  values: fc.array(drawnValues, { maxLength: 2 }),
  entryChanges: fc.boolean(),
  restarts: fc.boolean(),
});

type DrawnStep = typeof drawnSteps extends fc.Arbitrary<infer Step> ? Step : never;

function checkSeries(steps: readonly DrawnStep[]): void {
  const observed = new ObservedServer();
  let restEndsAt = observed.clock.now();
  for (const { afterMs, status, values, entryChanges, restarts } of steps) {
    observed.clock.advance(afterMs);
    if (entryChanges) {
      observed.disappear();
      observed.appear();
    }
    if (restarts) observed.restart();
    const now = observed.clock.now();
    assert.equal(observed.mayGetRequests, now >= restEndsAt);
    observed.answer(
      status,
      values.flatMap(({ text }) => ['Retry-After', text]),
    );
    const askedMs = status === 503 ? Math.max(0, ...values.map(({ ms }) => ms)) : 0;
    restEndsAt = Math.max(restEndsAt, now + askedMs);
    assert.equal(observed.mayGetRequests, now >= restEndsAt);
  }
}

When(
  'a server gives {int} series of answers that are drawn from seed {int}',
  function (this: NoticeWorld, runs: number, seed: number) {
    this.drawnSeries = { runs, seed };
  },
);

Then(
  'it gets a request exactly while none of the cooldowns that it named is in force',
  function (this: NoticeWorld) {
    const { runs, seed } = this.drawnSeries;
    const series = fc.array(drawnSteps, { minLength: 1, maxLength: 12 });
    fc.assert(fc.property(series, checkSeries), { numRuns: runs, seed });
  },
);
