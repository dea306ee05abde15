/**
 * Keeps this entry's objects current from the platform's watch.
 */
import { createWatchLoop, type ObjectList } from '../../adapters/platform/index.js';
import { createSection } from '../../board/index.js';
import {
  composeConfiguration,
  composeInstances,
  createObjectState,
  exportChanges,
  KEPT_KINDS,
  mergeObjects,
  type ObjectChanges,
} from '../../controllers/configuration/index.js';
import type { EntryContext } from '../types.js';
import type { ConfigurationPart } from './types.js';

/**
 * The configuration part of an entry.
 *
 * @example const configuration = createConfiguration(context); configuration.start();
 */
export function createConfiguration(context: EntryContext): ConfigurationPart {
  const { clock, logger, platform, random, settings, writers } = context;
  let state = createObjectState();
  let confirmedAt = Number.NEGATIVE_INFINITY;
  const instances = createSection(composeInstances(state));

  const publish = (): void => {
    writers.configuration.write(composeConfiguration(state, confirmedAt));
    instances.write(composeInstances(state));
  };
  const merge = (changes: ObjectChanges): void => {
    state = mergeObjects(state, changes);
    publish();
  };
  const takeList = (list: ObjectList): void => {
    confirmedAt = clock.now();
    merge({ since: state.revision, ...list });
  };
  const watch = createWatchLoop({
    platform,
    kinds: KEPT_KINDS,
    waitMs: settings.platform.watchMs,
    random,
    logger,
    onList: takeList,
  });
  return {
    instances,
    changesSince: (since) => exportChanges(state, since),
    merge,
    start: () => {
      watch.start();
    },
    stop: async () => {
      await watch.stop();
    },
  };
}
