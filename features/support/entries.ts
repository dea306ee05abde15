/**
 * Entries in this process, with real listeners for each other and a platform stand-in, for
 * scenarios about configuration and membership. Links can be cut one by one.
 */
import { err, errAsync, okAsync, ResultAsync, type Result } from 'neverthrow';
import {
  createPeerClient,
  createPeerServer,
  type PeerClient,
  type PeerHandlers,
} from '../../src/adapters/peers/index.js';
import {
  createPlatformClient,
  type ObjectList,
  type Platform,
  type PlatformFailure,
} from '../../src/adapters/platform/index.js';
import type { Operations } from '../../src/adapters/operators/index.js';
import type { Engines } from '../../src/adapters/engines/index.js';
import { createBoard } from '../../src/board/index.js';
import { createSystemClock } from '../../src/core/clock/index.js';
import { createFailure } from '../../src/core/errors/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { entrySettingsSchema } from '../../src/core/settings/index.js';
import {
  createConfiguration,
  type ConfigurationPart,
} from '../../src/entry/configuration/index.js';
import { createMembership, type MembershipPart } from '../../src/entry/membership/index.js';
import { createOperations } from '../../src/entry/operations/index.js';
import type { EntryContext } from '../../src/entry/types.js';
import { OBJECT_KINDS } from '../../src/objects/index.js';
import { createPlatformStandIn, type PlatformStandIn } from '../../src/stand-ins/platform/index.js';

/** One entry, without its request path. */
export interface TestEntry {
  name: string;
  context: EntryContext;
  configuration: ConfigurationPart;
  membership: MembershipPart;
  operations: Operations;
  /** Bytes that it has sent to other entries. */
  sentBytes(): number;
  stop(): Promise<void>;
}

export interface TestFleetOptions {
  membership?: Record<string, number>;
}

/** A platform and the entries before it. */
export interface TestFleet {
  platform: PlatformStandIn;
  entries: Map<string, TestEntry>;
  /** Starts an entry; it is listed by the platform unless `isListed` is false. */
  startEntry(name: string, failureDomain: string, isListed?: boolean): Promise<TestEntry>;
  /** No call gets through between the two, in either direction. `platform` names the platform. */
  cut(one: string, other: string): void;
  heal(): void;
  /** The watch that the entry has under way brings nothing any more; later calls are answered. */
  silenceWatch(name: string): void;
  /** Keeps what the platform would answer now, as a copy that lags behind. */
  copyPlatform(): Promise<void>;
  /** From now on the platform's reads and watches come from the copy; writes go through. */
  answerFromCopy(isOn: boolean): void;
  stop(): Promise<void>;
}

const FAST = { digestEveryMs: 50, forgetMs: 800, bytesPerSecond: 200_000 };
const PEER_TIMEOUT_MS = 300;
const PLATFORM_TIMEOUT_MS = 300;
const WATCH_MS = 1_000;
const PLATFORM = 'platform';

/** A platform without objects and without entries. */
export async function createTestFleet(options: TestFleetOptions = {}): Promise<TestFleet> {
  const started = await createPlatformStandIn({ address: '127.0.0.1:0' });
  const platform = started._unsafeUnwrap();
  const entries = new Map<string, TestEntry>();
  const cuts = new Set<string>();
  const silencedAt = new Map<string, number>();
  const copy: { list?: ObjectList; isOn: boolean } = { isOn: false };
  const isCut = (one: string, other: string): boolean => cuts.has([one, other].sort().join());
  const nameOf = (address: string): string => {
    const found = [...entries.values()].find((e) => e.context.identity.peerAddress === address);
    return found?.name ?? address;
  };

  const startEntry = async (
    name: string,
    failureDomain: string,
    isListed = true,
  ): Promise<TestEntry> => {
    const seeds = [...entries.values()].map((entry) => entry.context.identity.peerAddress);
    const settings = entrySettingsSchema.parse({
      name,
      failureDomain,
      listen: { callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' },
      platform: { address: platform.address, timeoutMs: PLATFORM_TIMEOUT_MS, watchMs: WATCH_MS },
      peers: seeds.slice(0, 2),
      membership: { ...FAST, ...options.membership },
    });
    const random = createRandom(entries.size + 1);
    const client = createPlatformClient({
      address: platform.address,
      timeoutMs: PLATFORM_TIMEOUT_MS,
      random,
      logger: silentLogger,
    });
    let sent = 0;
    const onSent = (bytes: number): void => {
      sent += bytes;
      membership.countSent(bytes);
    };
    const peers = cutPeers(createPeerClient({ timeoutMs: PEER_TIMEOUT_MS, onSent }), (address) =>
      isCut(name, nameOf(address)),
    );
    const handlers: PeerHandlers = {
      exchange: (message) => membership.handlers.exchange(message),
      changesSince: (since) => membership.handlers.changesSince(since),
    };
    const server = createPeerServer({ address: settings.listen.peers, handlers, onSent });
    const peerAddress = (await server.listen())._unsafeUnwrap();
    const writers = createBoard();
    const context: EntryContext = {
      identity: {
        name,
        incarnation: `${name}-${performance.now()}`,
        address: '127.0.0.1:1',
        peerAddress,
        region: settings.region,
        failureDomain,
      },
      settings,
      board: writers,
      writers,
      clock: createSystemClock(),
      random,
      logger: silentLogger,
      platform: spoilPlatform(
        client,
        () => isCut(name, PLATFORM),
        () => (copy.isOn ? copy.list : undefined),
        () => silencedAt.get(name) ?? Number.NEGATIVE_INFINITY,
      ),
      engines: {} as Engines,
    };
    const configuration = createConfiguration(context, peers);
    const membership = createMembership(context, configuration, peers);
    const operations = createOperations(context, {
      configuration,
      membership,
      readiness: () => undefined,
      metrics: () => Promise.resolve(''),
    });
    const stop = async (): Promise<void> => {
      entries.delete(name);
      await server.close();
      await Promise.all([membership.stop(), configuration.stop()]);
      await Promise.all([peers.close(), client.close()]);
    };
    const entry: TestEntry = {
      name,
      context,
      configuration,
      membership,
      operations,
      sentBytes: () => sent,
      stop,
    };
    entries.set(name, entry);
    if (isListed) {
      const value = { role: 'entry', address: '127.0.0.1:1', failureDomain, peerAddress };
      platform.put('instance', name, value);
    }
    configuration.start();
    membership.start();
    return entry;
  };

  return {
    platform,
    entries,
    startEntry,
    cut: (one, other) => {
      cuts.add([one, other].sort().join());
    },
    heal: () => {
      cuts.clear();
    },
    silenceWatch: (name) => {
      silencedAt.set(name, performance.now());
    },
    copyPlatform: async () => {
      const random = createRandom(0);
      const { address } = platform;
      const options = { address, timeoutMs: PLATFORM_TIMEOUT_MS, random, logger: silentLogger };
      const client = createPlatformClient(options);
      copy.list = (await client.watch(OBJECT_KINDS, 0, 0))._unsafeUnwrap();
      await client.close();
    },
    answerFromCopy: (isOn) => {
      copy.isOn = isOn;
    },
    stop: async () => {
      await Promise.all([...entries.values()].map((entry) => entry.stop()));
      await platform.stop();
    },
  };
}

function cutPeers(peers: PeerClient, isCut: (address: string) => boolean): PeerClient {
  const refuse = (address: string) =>
    errAsync(createFailure('unreachable', { name: address, reason: 'cut' }));
  return {
    exchange: (address, message) =>
      isCut(address) ? refuse(address) : peers.exchange(address, message),
    changesSince: (address, since) =>
      isCut(address) ? refuse(address) : peers.changesSince(address, since),
    close: () => peers.close(),
  };
}

/** An answer that never comes; the call ends only when its caller ends it. */
async function whenAborted(
  signal: AbortSignal | undefined,
): Promise<Result<never, PlatformFailure>> {
  if (signal?.aborted !== true)
    await new Promise((resolve) => signal?.addEventListener('abort', resolve));
  return err(createFailure('platformUnavailable', { reason: 'ended' }));
}

/** A watch that waits when the link is cut is not answered any more either. */
function spoilPlatform(
  platform: Platform,
  isCut: () => boolean,
  oldCopy: () => ObjectList | undefined,
  silencedAt: () => number,
): Platform {
  const refuse = () => errAsync(createFailure('platformUnavailable', { reason: 'cut' }));
  const answerFromCopy = (list: ObjectList, since: number): ObjectList => ({
    objects: list.objects.filter((object) => object.version > since),
    revision: list.revision,
  });
  return {
    onReturn: (listener) => platform.onReturn(listener),
    list: (kind) => (isCut() ? refuse() : platform.list(kind)),
    read: (kind, name) => (isCut() ? refuse() : platform.read(kind, name)),
    write: (write) => (isCut() ? refuse() : platform.write(write)),
    writeBatch: (writes) => (isCut() ? refuse() : platform.writeBatch(writes)),
    watch: (kinds, since, waitMs, signal) => {
      const copied = oldCopy();
      if (isCut()) return refuse();
      if (copied !== undefined) return okAsync(answerFromCopy(copied, since));
      const sentAt = performance.now();
      return platform.watch(kinds, since, waitMs, signal).andThen((list) => {
        if (waitMs > 0 && sentAt < silencedAt()) return new ResultAsync(whenAborted(signal));
        return isCut() ? refuse() : okAsync(list);
      });
    },
  };
}
