/**
 * Keeps this entry's objects current from the platform's watch and from peers.
 */
import type { PeerClient } from '../../adapters/peers/index.js';
import type { ObjectList } from '../../adapters/platform/index.js';
import { createSection } from '../../board/index.js';
import {
  composeConfiguration,
  composeInstances,
  createObjectState,
  exportChanges,
  findNewest,
  findPullStart,
  KEPT_KINDS,
  mergeObjects,
  type ObjectChanges,
} from '../../controllers/configuration/index.js';
import type { StoredObject } from '../../objects/index.js';
import type { EntryContext } from '../types.js';
import { createPlatformWatch } from './platform-watch.js';
import type { ConfigurationPart } from './types.js';

/** A confirmation alone is put on the board this often at most, to spare its readers. */
const CONFIRM_EVERY_MS = 1_000;
/** Pages of one pull; what is left comes with the next. */
const PULL_PAGES = 50;

/**
 * The configuration part of an entry. It watches the platform from its start until
 * `setWatching(false)`.
 *
 * @example const configuration = createConfiguration(context, peers); configuration.start();
 */
export function createConfiguration(context: EntryContext, peers: PeerClient): ConfigurationPart {
  const { clock, logger, platform, writers } = context;
  let state = createObjectState();
  let confirmedAt = Number.NEGATIVE_INFINITY;
  let platformAt = Number.NEGATIVE_INFINITY;
  let newest = 0;
  let isStopped = false;
  let hasAskedPeer = false;
  const instances = createSection(composeInstances(state));
  const calls = { pull: Promise.resolve(), isPulling: false, isProbing: false };

  const merge = (changes: ObjectChanges): void => {
    const before = state;
    state = mergeObjects(state, changes);
    if (state === before) return;
    newest = findNewest(state);
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
    if (confirmedAt - section.confirmedAt < CONFIRM_EVERY_MS) return;
    writers.configuration.write({ ...section, confirmedAt });
  };
  const takeList = (list: ObjectList): void => {
    merge({ since: state.revision, ...list });
    // An old copy of the platform, behind what peers brought, confirms nothing.
    if (list.revision < state.revision) return;
    platformAt = clock.now();
    confirm();
  };
  const watch = createPlatformWatch(context, () => state.revision, takeList);

  const pullPages = async (address: string): Promise<void> => {
    let since = findPullStart(state);
    for (let page = 0; page < PULL_PAGES && !isStopped; page += 1) {
      const pulled = await peers.changesSince(address, since);
      if (pulled.isErr()) {
        logger.log('configurationPullFailed', { address, reason: pulled.error.message });
        return;
      }
      merge(pulled.value);
      confirm();
      since = pulled.value.revision;
      hasAskedPeer ||= !pulled.value.more;
      if (!pulled.value.more) return;
    }
  };
  const pull = (address: string): void => {
    if (calls.isPulling || isStopped) return;
    calls.isPulling = true;
    calls.pull = pullPages(address).finally(() => {
      calls.isPulling = false;
    });
  };
  const refresh = async (): Promise<void> => {
    const list = await platform.watch(KEPT_KINDS, state.revision, 0);
    if (list.isOk() && !isStopped) takeList(list.value);
  };
  /**
   * Not any call will do: that the platform answers doesn't say that what is in force here is the
   * newest, and the entry's own watch may bring nothing any more. This call brings what is missing.
   */
  const probe = async (): Promise<void> => {
    await refresh();
    calls.isProbing = false;
  };

  return {
    instances,
    merge,
    confirm,
    pull,
    needsPeer: () => !hasAskedPeer && findPullStart(state) < state.revision,
    revision: () => state.revision,
    newest: () => newest,
    platformAt: () => platformAt,
    platformContact: () => watch.contact(),
    changesSince: (since) => exportChanges(state, since),
    setWatching: (isWatching) => {
      watch.set(isWatching && !isStopped);
    },
    refresh,
    probe: () => {
      if (calls.isProbing || isStopped) return;
      calls.isProbing = true;
      void probe();
    },
    start: () => {
      watch.set(true);
    },
    stop: async () => {
      isStopped = true;
      watch.set(false);
      await Promise.all([watch.settled(), calls.pull]);
    },
  };
}
