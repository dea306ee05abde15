/**
 * Tracks the active serving configuration: the highest version received from the store or a peer.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { WritableSection } from '../../board/index.js';
import { indexConfiguration, type ServingIndex } from '../../controllers/forwarding/index.js';
import {
  computeProofBounds,
  laterProof,
  roundedProofAge,
  type Proof,
} from '../../controllers/freshness/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ServingConfiguration, StoreObject } from '../../ports/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { ObjectStore } from './client.js';
import { createFollowerSwitch, type FollowerSwitch } from './follower-switch.js';

/** Writes the board sections `serving` and `configurationProof`. */
export interface ConfigurationPart extends GatewayPart {
  follower: FollowerSwitch;
  /** Activates `configuration` if it is newer than the active version. */
  apply(configuration: ServingConfiguration, source: 'store' | 'peer'): void;
  /**
   * Records that a peer has `version` active. A gateway that does not follow the store then reads it
   * from the store, since a configuration may be too large for the link between gateways.
   */
  noteVersion(version: number): void;
  /** Records that a peer with `version` active had confirmed at `at` that it was the newest. */
  recordProof(version: number, at: Milliseconds): void;
  /** Calls `listener` after a version from the store has become active. */
  onUpdate(listener: () => void): void;
}

/** Network delay within a region: a call sent earlier should have returned a version that a peer has. */
const PROPAGATION_MS: Milliseconds = 400;

interface ConfigurationPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  section: WritableSection<ServingIndex | undefined>;
  proof: WritableSection<Proof | undefined>;
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
}: ConfigurationPartOptions): ConfigurationPart {
  const { platform, logger, clock } = context;
  const listeners: (() => void)[] = [];
  let isReading = false;
  /** The newest version known to be active at a peer. */
  let newestPeerVersion = 0;
  const { minReadIntervalMs } = computeProofBounds(context.settings.configuration.applyMs);
  let lastReadAt = Number.NEGATIVE_INFINITY;

  const activeVersion = (): number | undefined => section.read()?.configuration.version;
  const applyVersion: ConfigurationPart['apply'] = (configuration, source) => {
    const current = activeVersion();
    if (current !== undefined && configuration.version <= current) return;
    section.write(indexConfiguration(configuration));
    logger.log('servingConfigurationTaken', {
      version: configuration.version,
      before: current,
      beforeAgeMs: roundedProofAge(proof.read(), clock.now()),
      source,
      routes: configuration.routes.length,
    });
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
    const before = activeVersion();
    objects
      .filter(({ name }) => name === platform.configurationName)
      .sort((one, other) => other.revision - one.revision)
      .some(applyObject);
    if (activeVersion() !== before) for (const listener of listeners) listener();
  };
  /** Returns false when the read failed or found no object. */
  const readFromStore = async (): Promise<boolean> => {
    const at = clock.now();
    const object = await store.read(platform.configurationKind, platform.configurationName);
    if (object.isErr() || object.value === undefined) {
      logger.log('configurationReadFailed', {
        wanted: newestPeerVersion,
        inForce: activeVersion(),
        tookMs: Math.round(clock.now() - at),
        reason: object.isErr() ? object.error.message : 'there is none',
      });
      return false;
    }
    applyNewest([object.value]);
    proof.write(laterProof(proof.read(), { at, source: 'store' }));
    return true;
  };
  const waitForReadSlot = async (): Promise<void> => {
    const leftMs = lastReadAt + minReadIntervalMs - clock.now();
    if (leftMs > 0) await sleep(leftMs, undefined, { ref: false });
    lastReadAt = clock.now();
  };
  /** Reads until the newest known version is active. Gives up on a failure; peers announce it again. */
  const readUntilCurrent = async (): Promise<void> => {
    for (
      let before = -1;
      before < newestPeerVersion && (activeVersion() ?? 0) < newestPeerVersion;
    ) {
      await waitForReadSlot();
      before = newestPeerVersion;
      if (!(await readFromStore())) break;
    }
  };
  const readIfIdle = (): void => {
    if (isReading) return;
    isReading = true;
    readUntilCurrent()
      .catch((error: unknown) => {
        logger.log('unexpectedError', { reason: String(error), where: 'configuration' });
      })
      .finally(() => {
        isReading = false;
      });
  };
  const follower = createFollowerSwitch({
    store,
    kind: platform.configurationKind,
    context,
    proof,
    maxStalenessMs: context.settings.configuration.applyMs,
    coalesceMs: 0,
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
    noteVersion: (version) => {
      if (version <= (activeVersion() ?? 0)) return;
      if (version > newestPeerVersion) {
        newestPeerVersion = version;
        logger.log('newerConfigurationKnown', {
          version,
          inForce: activeVersion(),
          inForceAgeMs: roundedProofAge(proof.read(), clock.now()),
          follows: follower.isOn(),
        });
      }
      if (follower.isOn()) follower.abortCallsBefore(clock.now() - PROPAGATION_MS);
      else readIfIdle();
    },
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
