/**
 * The configuration in force: the highest version seen, from the store or from a peer.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { WritableSection } from '../../board/index.js';
import { indexConfiguration, type ServingIndex } from '../../controllers/forwarding/index.js';
import {
  boundProofs,
  laterProof,
  roundedAge,
  type Proof,
} from '../../controllers/freshness/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ServingConfiguration, StoreObject } from '../../ports/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { ObjectStore } from './client.js';
import { createFollowerSwitch, type FollowerSwitch } from './follower-switch.js';

/** Keeps the sections `serving` and `configurationProof`. */
export interface ConfigurationPart extends GatewayPart {
  follower: FollowerSwitch;
  /** Takes a version that a peer has in force; an older one changes nothing. */
  take(configuration: ServingConfiguration, source: 'store' | 'peer'): void;
  /**
   * A peer has `version` in force. A gateway that does not follow the store reads it there: a
   * configuration may be large, and the store's link bears more than that of a small instance.
   */
  hearOf(version: number): void;
  /** A peer that has `version` in force knew at `at` that there was nothing newer. */
  takeProof(version: number, at: Milliseconds): void;
  /** Called with each version that the store itself brought. */
  onNews(listener: () => void): void;
}

/**
 * What a peer has heard already may be on its way here; a call that was sent longer ago than the ways of
 * a region take would have brought it.
 */
const ON_ITS_WAY_MS: Milliseconds = 400;

interface ConfigurationPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  section: WritableSection<ServingIndex | undefined>;
  proof: WritableSection<Proof | undefined>;
}

/**
 * Guards against going back: an old copy of the store, or a peer that was away, may offer an older
 * version than the one in force, and requests would then be handled as operators no longer allow.
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
  /** The newest version that a peer has in force. */
  let heard = 0;
  const { readEveryMs } = boundProofs(context.settings.configuration.applyMs);
  let readAt = Number.NEGATIVE_INFINITY;

  const versionInForce = (): number | undefined => section.read()?.configuration.version;
  const take: ConfigurationPart['take'] = (configuration, source) => {
    const current = versionInForce();
    if (current !== undefined && configuration.version <= current) return;
    section.write(indexConfiguration(configuration));
    logger.log('servingConfigurationTaken', {
      version: configuration.version,
      before: current,
      beforeAgeMs: roundedAge(proof.read(), clock.now()),
      source,
      routes: configuration.routes.length,
    });
  };
  /** False when the object holds no configuration that can be read. */
  const takeObject = ({ value, revision }: StoreObject): boolean => {
    const startedAt = clock.now();
    const decoded = platform.decodeConfiguration(value);
    switch (decoded.kind) {
      case 'decoded':
        take(decoded.configuration, 'store');
        return true;
      case 'invalid':
        logger.log('servingConfigurationRejected', {
          revision,
          reason: decoded.reason,
          inForce: versionInForce(),
          tookMs: Math.round(clock.now() - startedAt),
        });
        return false;
    }
  };
  /** Of versions that arrive together the newest goes in force; none in between is served. */
  const takeNewest = (objects: readonly StoreObject[]): void => {
    const before = versionInForce();
    objects
      .filter(({ name }) => name === platform.configurationName)
      .sort((one, other) => other.revision - one.revision)
      .some(takeObject);
    if (versionInForce() !== before) for (const listener of listeners) listener();
  };
  /** False when it brought nothing, which shows in the contact with the store. */
  const read = async (): Promise<boolean> => {
    const at = clock.now();
    const object = await store.read(platform.configurationKind, platform.configurationName);
    if (object.isErr() || object.value === undefined) return false;
    takeNewest([object.value]);
    proof.write(laterProof(proof.read(), { at, source: 'store' }));
    return true;
  };
  const waitForTurn = async (): Promise<void> => {
    const leftMs = readAt + readEveryMs - clock.now();
    if (leftMs > 0) await sleep(leftMs, undefined, { ref: false });
    readAt = clock.now();
  };
  /** Reads until the newest version that was heard of is there; on a failure whoever told tells again. */
  const readNewest = async (): Promise<void> => {
    if (isReading) return;
    isReading = true;
    for (let before = -1; before < heard && (versionInForce() ?? 0) < heard;) {
      await waitForTurn();
      before = heard;
      if (!(await read())) break;
    }
    isReading = false;
  };
  const follower = createFollowerSwitch({
    store,
    kind: platform.configurationKind,
    context,
    proof,
    boundMs: context.settings.configuration.applyMs,
    pauseMs: 0,
    onList: ({ objects }) => {
      takeNewest(objects);
    },
    onChanges: ({ changes }) => {
      takeNewest(changes.filter(({ deleted }) => !deleted).map(({ object }) => object));
    },
  });
  return {
    follower,
    take,
    hearOf: (version) => {
      if (version <= (versionInForce() ?? 0)) return;
      heard = Math.max(heard, version);
      if (follower.isOn()) follower.doubtCallsBefore(clock.now() - ON_ITS_WAY_MS);
      else void readNewest();
    },
    takeProof: (version, at) => {
      if (version > (versionInForce() ?? 0)) return;
      proof.write(laterProof(proof.read(), { at, source: 'peer' }));
    },
    onNews: (listener) => {
      listeners.push(listener);
    },
    start: () => undefined,
    stop: () => follower.stop(),
  };
}
