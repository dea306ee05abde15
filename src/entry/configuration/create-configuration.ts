/**
 * Keeps this entry's configuration objects up to date from the platform's watch and from peers.
 */
import type { PeerClient } from '../../adapters/peers/index.js';
import type { ObjectList } from '../../adapters/platform/index.js';
import { createSection } from '../../board/index.js';
import {
  composeConfiguration,
  composeInstances,
  createObjectState,
  exportChanges,
  findNewestVersion,
  findPullStart,
  WATCHED_KINDS,
  mergeObjects,
  type ObjectChanges,
} from '../../controllers/configuration/index.js';
import type { StoredObject } from '../../objects/index.js';
import type { EntryContext } from '../types.js';
import { createPlatformWatch } from './platform-watch.js';
import type { ConfigurationPart } from './types.js';

/** Minimum interval between board writes that only update the confirmation time. */
const CONFIRM_WRITE_INTERVAL_MS = 1_000;
/** Maximum pages fetched in one pull; the next pull fetches the rest. */
const MAX_PULL_PAGES = 50;

/**
 * Creates the configuration part of an entry. It watches the platform from its start until
 * `setWatching(false)`.
 *
 * @example const configuration = createConfiguration(context, peers); configuration.start();
 */
export function createConfiguration(context: EntryContext, peers: PeerClient): ConfigurationPart {
  const { clock, logger, platform, writers } = context;
  let state = createObjectState();
  let confirmedAt = Number.NEGATIVE_INFINITY;
  let platformConfirmedAt = Number.NEGATIVE_INFINITY;
  let newestVersion = 0;
  let isStopped = false;
  let hasPulledFromPeer = false;
  const instances = createSection(composeInstances(state));
  const activeCalls = { pull: Promise.resolve(), isPulling: false, isProbing: false };

  const merge = (changes: ObjectChanges): void => {
    const previous = state;
    state = mergeObjects(state, changes);
    if (state === previous) return;
    newestVersion = findNewestVersion(state);
    writers.configuration.write(composeConfiguration(state, confirmedAt));
    logger.log('configurationInForce', { revision: state.revision });
    logRejected(changes.objects);
    instances.write(composeInstances(state));
  };
  const logRejected = (objects: readonly StoredObject[]): void => {
    const versions = new Set(objects.map((object) => object.version));
    for (const { kind, name, version, reason } of writers.configuration.read().rejected) {
      if (!versions.has(version)) continue;
      logger.log('objectRejected', { kind, object: name, version, reason });
    }
  };
  const confirm = (): void => {
    confirmedAt = clock.now();
    const section = writers.configuration.read();
    if (confirmedAt - section.confirmedAt < CONFIRM_WRITE_INTERVAL_MS) return;
    writers.configuration.write({ ...section, confirmedAt });
  };
  const applyList = (list: ObjectList): void => {
    merge({ since: state.revision, ...list });
    // A stale platform replica, behind what peers have sent, confirms nothing.
    if (list.revision < state.revision) return;
    platformConfirmedAt = clock.now();
    confirm();
  };
  const watch = createPlatformWatch(context, () => state.revision, applyList);

  const pullPages = async (address: string): Promise<void> => {
    let since = findPullStart(state);
    for (let page = 0; page < MAX_PULL_PAGES && !isStopped; page += 1) {
      const pulled = await peers.changesSince(address, since);
      if (pulled.isErr()) {
        logger.log('configurationPullFailed', { address, reason: pulled.error.message });
        return;
      }
      merge(pulled.value);
      confirm();
      since = pulled.value.revision;
      hasPulledFromPeer ||= !pulled.value.more;
      if (!pulled.value.more) return;
    }
  };
  const pull = (address: string): void => {
    if (activeCalls.isPulling || isStopped) return;
    activeCalls.isPulling = true;
    activeCalls.pull = pullPages(address).finally(() => {
      activeCalls.isPulling = false;
    });
  };
  const refresh = async (): Promise<void> => {
    const list = await platform.watch(WATCHED_KINDS, state.revision, 0);
    if (list.isOk() && !isStopped) applyList(list.value);
  };
  /**
   * Probes with a refresh rather than a cheaper call: an answer alone does not prove that the
   * configuration is current, and the watch may have stopped delivering changes.
   */
  const refreshForProbe = async (): Promise<void> => {
    await refresh();
    activeCalls.isProbing = false;
  };

  return {
    instances,
    merge,
    confirm,
    pull,
    needsPeer: () => !hasPulledFromPeer && findPullStart(state) < state.revision,
    revision: () => state.revision,
    newestVersion: () => newestVersion,
    platformAt: () => platformConfirmedAt,
    platformContact: () => watch.contact(),
    changesSince: (since) => exportChanges(state, since),
    setWatching: (isWatching) => {
      watch.setWatching(isWatching && !isStopped);
    },
    refresh,
    probe: () => {
      if (activeCalls.isProbing || isStopped) return;
      activeCalls.isProbing = true;
      void refreshForProbe();
    },
    start: () => {
      watch.setWatching(true);
    },
    stop: async () => {
      isStopped = true;
      watch.setWatching(false);
      await Promise.all([watch.whenStopped(), activeCalls.pull]);
    },
  };
}
