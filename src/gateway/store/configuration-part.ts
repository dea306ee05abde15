/**
 * Tracks the active serving configuration: the highest version received from the store or a peer.
 */
import type { WritableSection } from '../../board/index.js';
import { indexConfiguration, type ServingIndex } from '../../controllers/forwarding/index.js';
import {
  computeProofBounds,
  laterProof,
  roundedProofAge,
  type Proof,
} from '../../controllers/freshness/index.js';
import {
  applyConfigurationDelta,
  diffConfigurations,
  VersionPursuit,
  type PursuitStep,
} from '../../controllers/propagation/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ServingConfiguration, StoreObject } from '../../ports/index.js';
import type { ConfigurationNotice } from '../peers/messages.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { ObjectStore } from './client.js';
import { createFollowerSwitch, type FollowerSwitch } from './follower-switch.js';

/** Writes the board sections `serving` and `configurationProof`. */
export interface ConfigurationPart extends GatewayPart {
  follower: FollowerSwitch;
  /** Activates `configuration` if it is newer than the active version. */
  apply(configuration: ServingConfiguration, source: 'store' | 'peer'): void;
  /** Records that the peer at `holder` has `version` active, and gets it from there or the store. */
  noteVersion(version: number, holder: string): void;
  /** Applies a change that the peer at `holder` has made active. */
  applyNotice(notice: ConfigurationNotice, holder: string): void;
  /** Asks the next source for a version that is known to exist. Called on every tick. */
  pursue(): void;
  /** Records that a peer with `version` active had confirmed at `at` that it was the newest. */
  recordProof(version: number, at: Milliseconds): void;
  /** Calls `listener` after a version has become active. */
  onUpdate(listener: (update: ConfigurationUpdate) => void): void;
}

/** A version that has become active. */
export interface ConfigurationUpdate {
  source: 'store' | 'peer';
  /** What other gateways are told of it; compares two whole configurations. */
  createNotice: () => ConfigurationNotice;
}

/** Two lost calls in a row still leave time to apply a change. */
const OWN_RETRY_MS: Milliseconds = 600;
/** Longest difference that is sent to all gateways of a failure domain at once, as JSON. */
const MAX_DELTA_CHARACTERS = 8_192;
/** Network delay within a region: a call sent earlier should have returned a version that a peer has. */
const PROPAGATION_MS: Milliseconds = 400;

interface ConfigurationPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  section: WritableSection<ServingIndex | undefined>;
  proof: WritableSection<Proof | undefined>;
  newestVersion: WritableSection<number>;
  /** Fetches the configuration of the gateway at `address` if it is newer than `version`. */
  fetchFromPeer: (address: string, version: number) => Promise<ServingConfiguration | undefined>;
}

/**
 * Never activates a version older than the active one, which a restored store or a peer that was
 * disconnected may offer: requests would be handled under rules that operators have replaced.
 */
export function createConfigurationPart({
  context,
  store,
  section,
  proof,
  newestVersion,
  fetchFromPeer,
}: ConfigurationPartOptions): ConfigurationPart {
  const { platform, logger, clock } = context;
  const listeners: ((update: ConfigurationUpdate) => void)[] = [];
  const { minReadIntervalMs } = computeProofBounds(context.settings.configuration.applyMs);
  const pursuit = new VersionPursuit(minReadIntervalMs);

  const activeVersion = (): number | undefined => section.read()?.configuration.version;
  const applyVersion: ConfigurationPart['apply'] = (configuration, source) => {
    const before = section.read()?.configuration;
    const current = before?.version;
    if (current !== undefined && configuration.version <= current) return;
    section.write(indexConfiguration(configuration));
    const { version } = configuration;
    logger.log('servingConfigurationTaken', {
      version,
      before: current,
      beforeAgeMs: roundedProofAge(proof.read(), clock.now()),
      source,
      routes: configuration.routes.length,
    });
    const createNotice = (): ConfigurationNotice => {
      const delta = before && diffConfigurations(before, configuration, MAX_DELTA_CHARACTERS);
      return { configurationVersion: version, ...(delta && { delta }) };
    };
    for (const listener of listeners) listener({ source, createNotice });
  };
  /** Returns false when the object holds no valid configuration. */
  const applyObject = ({ value, revision }: StoreObject): boolean => {
    const startedAt = clock.now();
    const decoded = platform.decodeConfiguration(value);
    switch (decoded.kind) {
      case 'decoded':
        applyVersion(decoded.configuration, 'store');
        return true;
      case 'invalid':
        logger.log('servingConfigurationRejected', {
          revision,
          reason: decoded.reason,
          inForce: activeVersion(),
          tookMs: Math.round(clock.now() - startedAt),
        });
        return false;
    }
  };
  /** Activates the newest valid version of `objects` and skips those in between. */
  const applyNewest = (objects: readonly StoreObject[]): void => {
    objects
      .filter(({ name }) => name === platform.configurationName)
      .sort((one, other) => other.revision - one.revision)
      .some(applyObject);
  };
  const readFromStore = async (): Promise<void> => {
    const at = clock.now();
    const object = await store.read(platform.configurationKind, platform.configurationName);
    if (object.isErr() || object.value === undefined) {
      logger.log('configurationReadFailed', {
        wanted: pursuit.newest,
        inForce: activeVersion(),
        tookMs: Math.round(clock.now() - at),
        reason: object.isErr() ? object.error.message : 'there is none',
      });
      return;
    }
    applyNewest([object.value]);
    proof.write(laterProof(proof.read(), { at, source: 'store' }));
  };
  const readFromPeer = async (peer: string): Promise<void> => {
    const configuration = await fetchFromPeer(peer, activeVersion() ?? 0);
    if (configuration) applyVersion(configuration, 'peer');
  };
  const runStep = async (step: PursuitStep): Promise<void> => {
    switch (step.kind) {
      case 'readStore':
        if (follower.isOn()) follower.abortCallsBefore(clock.now() - PROPAGATION_MS);
        else await readFromStore();
        break;
      case 'askPeer':
        await readFromPeer(step.peer);
        break;
    }
  };
  const pursue = (): void => {
    const { reachable } = context.board.storeReachability.read();
    const step = pursuit.next(clock.now(), activeVersion() ?? 0, reachable);
    if (step === undefined) return;
    runStep(step).catch((error: unknown) => {
      logger.log('configurationReadFailed', {
        wanted: pursuit.newest,
        inForce: activeVersion(),
        from: step.kind === 'askPeer' ? step.peer : 'the store',
        reason: String(error),
      });
    });
  };
  const noteVersion: ConfigurationPart['noteVersion'] = (version, holder) => {
    if (version <= (activeVersion() ?? 0)) return;
    if (pursuit.observe(version, holder)) {
      newestVersion.write(version);
      logger.log('newerConfigurationKnown', {
        version,
        inForce: activeVersion(),
        inForceAgeMs: roundedProofAge(proof.read(), clock.now()),
        follows: follower.isOn(),
        holder,
      });
    }
    pursue();
  };
  const follower = createFollowerSwitch({
    store,
    kind: platform.configurationKind,
    context,
    proof,
    maxStalenessMs: context.settings.configuration.applyMs,
    coalesceMs: 0,
    ownRetryMs: OWN_RETRY_MS,
    waitsForReachability: false,
    onList: ({ objects }) => {
      applyNewest(objects);
    },
    onChanges: ({ changes }) => {
      applyNewest(changes.filter(({ deleted }) => !deleted).map(({ object }) => object));
    },
  });
  return {
    follower,
    apply: applyVersion,
    noteVersion,
    applyNotice: ({ configurationVersion, delta }, holder) => {
      const active = section.read()?.configuration;
      const configuration = active && delta && applyConfigurationDelta(active, delta);
      if (configuration) applyVersion(configuration, 'peer');
      else noteVersion(configurationVersion, holder);
    },
    pursue,
    recordProof: (version, at) => {
      if (version > (activeVersion() ?? 0)) return;
      proof.write(laterProof(proof.read(), { at, source: 'peer' }));
    },
    onUpdate: (listener) => {
      listeners.push(listener);
    },
    start: () => undefined,
    stop: () => follower.stop(),
  };
}
