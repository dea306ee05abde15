/**
 * Gateways reduced to the parts that follow the store and exchange state, in this process: real fleet,
 * configuration and peer parts, which call each other over loopback, and a stand-in for the client of
 * the store.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { ok, okAsync, ResultAsync } from 'neverthrow';
import { createSection } from '../../src/board/index.js';
import { EMPTY_FLEET, type ServingFleet } from '../../src/controllers/forwarding/index.js';
import type { Proof } from '../../src/controllers/freshness/index.js';
import { findByRendezvous } from '../../src/controllers/membership/rendezvous.js';
import { FleetMembers } from '../../src/controllers/quotas/index.js';
import { createSystemClock } from '../../src/core/clock/index.js';
import type { LogValues } from '../../src/core/logger/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { createTicker } from '../../src/core/ticker/index.js';
import { createPeersPart } from '../../src/gateway/peers/peers-part.js';
import { createPeerClient, type PeerClient } from '../../src/gateway/peers/rpc.js';
import type { ObjectStore, WatchAnswer } from '../../src/gateway/store/client.js';
import { createConfigurationPart } from '../../src/gateway/store/configuration-part.js';
import { createFleetPart, type FleetPart } from '../../src/gateway/store/fleet-part.js';
import { createReachabilityTracker } from '../../src/gateway/store/reachability.js';
import type { GatewayContext, GatewayPart } from '../../src/gateway/types.js';
import type { BackendServer, StoreChange, StoreObject, StorePage } from '../../src/ports/index.js';
import { nextAddress } from '../support/ports.js';
import { createServer } from './planning-model.js';

export const SERVER_KIND = 'servers';
const DRAIN_MS = 3_000;
const WATCH_MS = 8_000;
/** As qualified revisions have it, which this store gives at once. */
const REVISIONS_PER_ERA = 2 ** 36;
const TICK_MS = 50;
const POLL_MS = 10;

interface RecordedChange extends StoreChange {
  kind: string;
}

/** Objects by kind and name, with one history. */
export class StoreModel {
  revision = 100;
  /** Runs between the read of the first and of the second half of a list of servers, once. */
  duringList: (() => void) | undefined;
  /** Watches are answered without their changes until this is false. */
  isWatchHeld = false;
  private readonly kinds = new Map<string, Map<string, StoreObject>>();
  private history: RecordedChange[] = [];

  put(kind: string, name: string, value: unknown): StoreObject {
    this.revision += 1;
    const object = { name, value, revision: this.revision };
    this.objectsOf(kind).set(name, object);
    this.history.push({ kind, object, deleted: false });
    return object;
  }

  remove(kind: string, name: string): void {
    this.revision += 1;
    this.objectsOf(kind).delete(name);
    const object = { name, value: undefined, revision: this.revision };
    this.history.push({ kind, object, deleted: true });
  }

  /** Loses all objects and begins another era. */
  restoreEmpty(): void {
    this.kinds.clear();
    this.history = [];
    this.revision = REVISIONS_PER_ERA + 1;
  }

  names(kind: string): string[] {
    return [...this.objectsOf(kind).keys()].sort();
  }

  /** A client; `onList` is called for each list of servers. */
  connect(onList: () => void): ObjectStore {
    return {
      list: (kind) => {
        if (kind === SERVER_KIND) onList();
        return okAsync(this.list(kind));
      },
      watch: (kind, since, waitMs, { signal }) =>
        new ResultAsync(this.watch(kind, since, waitMs, signal).then((answer) => ok(answer))),
      read: (kind, name) => okAsync(this.objectsOf(kind).get(name)),
      write: (kind, name, value) =>
        okAsync({ kind: 'written', object: this.put(kind, name, value) }),
      remove: () => okAsync(undefined),
      check: () => okAsync(undefined),
      replaceConnections: () => undefined,
      era: () => 0,
      observeEra: () => undefined,
      close: () => Promise.resolve(),
    };
  }

  /** As the client lists several pages: the revision is that of the first. */
  private list(kind: string): StorePage {
    const { revision } = this;
    const listSorted = (): StoreObject[] =>
      [...this.objectsOf(kind).values()].sort((one, other) => (one.name < other.name ? -1 : 1));
    const before = listSorted();
    const middle = before[Math.floor(before.length / 2)]?.name ?? '';
    if (kind === SERVER_KIND) this.duringList?.();
    if (kind === SERVER_KIND) this.duringList = undefined;
    const first = before.filter(({ name }) => name < middle);
    const second = listSorted().filter(({ name }) => name >= middle);
    return { objects: [...first, ...second], more: false, revision };
  }

  private async watch(
    kind: string,
    since: number,
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<WatchAnswer> {
    const until = performance.now() + waitMs;
    for (;;) {
      const changes = this.history.filter(
        (change) => change.kind === kind && change.object.revision > since,
      );
      const isOver = performance.now() >= until || signal?.aborted === true;
      if (!this.isWatchHeld && (changes.length > 0 || isOver))
        return { kind: 'changes', changes: { changes, revision: this.revision } };
      if (signal?.aborted) return { kind: 'changes', changes: { changes: [], revision: since } };
      await sleep(POLL_MS);
    }
  }

  private objectsOf(kind: string): Map<string, StoreObject> {
    const objects = this.kinds.get(kind) ?? new Map<string, StoreObject>();
    this.kinds.set(kind, objects);
    return objects;
  }
}

/** What the entry of a server holds; undefined can't be decoded. */
export function entryOf(id: string, startedAt = 1): unknown {
  return { ...createServer(id), service: 'app', startedAt };
}

/** One run of a gateway. */
export class FollowerGateway {
  readonly fleetSection = createSection<ServingFleet>(EMPTY_FLEET);
  readonly fleetProof = createSection<Proof | undefined>(undefined);
  readonly fleet: FleetPart;
  /** Whole copies that it has asked other gateways for. */
  copies = 0;
  /** Lists of the servers that it has asked the store for. */
  lists = 0;
  readonly lines: { event: string; values: LogValues | undefined }[] = [];
  /** Revisions of its fleet, in the order in which it had them. */
  readonly revisions: number[] = [];
  private readonly parts: GatewayPart[];
  private readonly listen: () => ResultAsync<string, unknown>;
  private readonly ticker;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    store: StoreModel,
    readonly name: string,
    readonly address: string,
    readonly failureDomain: string,
  ) {
    const clock = createSystemClock();
    this.ticker = createTicker(clock);
    const storeReachability = createSection({ reachable: true, since: clock.now() });
    const board = {
      serving: createSection(undefined),
      configurationProof: createSection(undefined),
      newestVersion: createSection(0),
      fleet: this.fleetSection,
      fleetProof: this.fleetProof,
      evacuations: createSection(undefined),
      evacuationProof: createSection(undefined),
      storeReachability,
      hasTraffic: createSection(false),
      cutOffServices: createSection([]),
      peers: createSection(new Map()),
      ownerCandidates: createSection(new Map()),
      peerLoad: createSection({ byServer: new Map(), unheard: 0, isLate: false }),
    };
    const context = {
      settings: {
        name,
        failureDomain,
        listen: { peers: address },
        seeds: [],
        store: { watchMs: WATCH_MS },
        servers: { heartbeatMs: 1_000, drainMs: DRAIN_MS },
        configuration: { applyMs: 10_000 },
      },
      platform: {
        serverKind: SERVER_KIND,
        configurationKind: 'config',
        decodeServer: (_name: string, value: unknown) => value as BackendServer | undefined,
      },
      board,
      clock,
      random: createRandom(1),
      ticker: this.ticker,
      logger: {
        log: (event: string, values?: LogValues) => {
          this.lines.push({ event, values });
        },
      },
      incarnation: `${name}/${clock.now()}`,
    } as unknown as GatewayContext;
    const reachability = createReachabilityTracker(context, storeReachability);
    const client = this.countCopies(createPeerClient());
    const objectStore = store.connect(() => {
      this.lists += 1;
    });
    this.fleet = createFleetPart({
      context,
      store: objectStore,
      reachability,
      section: this.fleetSection,
      proof: this.fleetProof,
    });
    this.fleetSection.subscribe(() => {
      this.revisions.push(this.fleetSection.read().revision);
    });
    const configuration = createConfigurationPart({
      context,
      store: objectStore,
      section: board.serving,
      proof: board.configurationProof,
      newestVersion: board.newestVersion,
      fetchFromPeer: () => Promise.resolve(undefined),
    });
    const peers = createPeersPart({
      context,
      client,
      store: objectStore,
      members: new FleetMembers(name, clock.now()),
      configuration,
      fleet: this.fleet,
      evacuation: undefined,
      section: board.peers,
      candidates: board.ownerCandidates,
      load: board.peerLoad,
      ...createIdleParts(),
    });
    this.listen = () => peers.listen();
    this.parts = [configuration, this.fleet, peers];
  }

  async start(): Promise<this> {
    (await this.listen())._unsafeUnwrap();
    for (const part of this.parts) part.start();
    this.timer = setInterval(() => {
      this.ticker.run();
    }, TICK_MS);
    return this;
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    for (const part of this.parts) await part.stop();
  }

  serverNames(): string[] {
    return [...this.fleetSection.read().servers.keys()].sort();
  }

  private countCopies(client: PeerClient): PeerClient {
    return {
      ...client,
      catchUp: (...call) => {
        this.copies += 1;
        return client.catchUp(...call);
      },
    };
  }
}

/** Gateways in failure domains of two each, of which one follows the store. */
export class FollowerSite {
  readonly store = new StoreModel();
  readonly gateways = new Map<string, FollowerGateway>();

  async addDomain(failureDomain: string): Promise<void> {
    for (const index of [0, 1]) await this.startGateway(`${failureDomain}-${index}`, failureDomain);
  }

  /** The gateways that follow the store for their domains. */
  listHubs(): FollowerGateway[] {
    const all = [...this.gateways.values()];
    const domains = [...new Set(all.map(({ failureDomain }) => failureDomain))];
    return domains.flatMap((domain) => {
      const members = all.filter(({ failureDomain }) => failureDomain === domain);
      const hub = findByRendezvous(
        members.map(({ name }) => name),
        domain,
      );
      return members.filter(({ name }) => name === hub);
    });
  }

  listOthers(): FollowerGateway[] {
    const hubs = this.listHubs();
    return [...this.gateways.values()].filter((gateway) => !hubs.includes(gateway));
  }

  /** Stops the hubs, calls `meanwhile`, and starts them again without what they knew. */
  async restartHubs(meanwhile: () => void): Promise<void> {
    const hubs = this.listHubs();
    await Promise.all(hubs.map((hub) => hub.stop()));
    meanwhile();
    for (const { name, failureDomain, address } of hubs)
      await this.startGateway(name, failureDomain, address);
  }

  async stop(): Promise<void> {
    await Promise.all([...this.gateways.values()].map((gateway) => gateway.stop()));
  }

  private async startGateway(
    name: string,
    failureDomain: string,
    address = nextAddress(),
  ): Promise<void> {
    const gateway = new FollowerGateway(this.store, name, address, failureDomain);
    this.gateways.set(name, await gateway.start());
  }
}

/** Parts that forward requests, without any. */
function createIdleParts() {
  const nothing = (): undefined => undefined;
  const nobody = (): never[] => [];
  const parts = {
    links: { checkForPeer: nothing },
    relay: { handle: nothing },
    backends: {
      listRateLimits: nobody,
      inFlight: () => new Map(),
      hasServed: () => false,
      suspicions: { listConfirmed: nobody },
      adoptPeerSuspicion: () => false,
      adoptRateLimit: nothing,
      onSuspicion: nothing,
      onRateLimitChange: nothing,
    },
    speeds: { report: nobody, adopt: nothing, onNews: nothing },
    quarantine: {
      buildDigest: () => ({}),
      mergeDigest: () => ({ reports: [], quarantined: [] }),
      list: nobody,
      restore: nothing,
      onReport: nothing,
      onQuarantine: nothing,
      onRelease: nothing,
    },
  };
  return parts as unknown as Pick<
    Parameters<typeof createPeersPart>[0],
    'links' | 'relay' | 'backends' | 'speeds' | 'quarantine'
  >;
}
