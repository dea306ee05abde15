/**
 * The configuration in force: the highest version seen, from the store or from a peer.
 */
import type { WritableSection } from '../../board/index.js';
import { laterProof, roundedAge, type Proof } from '../../controllers/freshness/index.js';
import { indexConfiguration, type ServingIndex } from '../../controllers/forwarding/index.js';
import type { ServingConfiguration, StoreObject } from '../../ports/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { ObjectStore } from './client.js';
import type { ContactKeeper } from './contact.js';
import { createFollower, type Follower } from './follow.js';

/** Keeps the section `serving`. */
export interface ConfigurationPart extends GatewayPart {
  /** Takes a version that a peer has in force; an older one changes nothing. */
  take(configuration: ServingConfiguration, source: 'store' | 'peer'): void;
  follower: Follower;
}

interface ConfigurationPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  contact: ContactKeeper;
  section: WritableSection<ServingIndex | undefined>;
  proof: WritableSection<Proof | undefined>;
}

/**
 * Guards against going back: an old copy of the store, or a peer that was away, may offer an older
 * version than the one in force, and requests would then be handled as operators no longer allow.
 */
export function createConfigurationPart(options: ConfigurationPartOptions): ConfigurationPart {
  const { context, store, contact, section, proof } = options;
  const { platform, logger, clock } = context;
  const take: ConfigurationPart['take'] = (configuration, source) => {
    const current = section.read()?.configuration.version;
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
  const takeObject = (object: StoreObject): void => {
    if (object.name !== platform.configurationName) return;
    const startedAt = clock.now();
    const decoded = platform.decodeConfiguration(object.value);
    switch (decoded.kind) {
      case 'decoded':
        take(decoded.configuration, 'store');
        break;
      case 'invalid':
        logger.log('servingConfigurationRejected', {
          revision: object.revision,
          reason: decoded.reason,
          inForce: section.read()?.configuration.version,
          tookMs: Math.round(clock.now() - startedAt),
        });
        break;
    }
  };
  const follower = createFollower({
    store,
    kind: platform.configurationKind,
    random: context.random,
    watchMs: context.settings.store.watchMs,
    pauseMs: 0,
    clock,
    onList: ({ objects }) => {
      objects.forEach(takeObject);
    },
    onChanges: ({ changes }) => {
      for (const { object, deleted } of changes) if (!deleted) takeObject(object);
    },
    onContact: (failure) => {
      contact.record(failure);
    },
    onProof: (at) => {
      proof.write(laterProof(proof.read(), { at, source: 'store' }));
    },
  });
  return {
    take,
    follower,
    start: () => {
      follower.start();
    },
    stop: () => follower.stop(),
  };
}
