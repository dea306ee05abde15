/**
 * This entry's own watch of the platform, which is started and ended as the fleet changes.
 */
import { createWatchLoop, type ObjectList, type WatchLoop } from '../../adapters/platform/index.js';
import { KEPT_KINDS } from '../../controllers/configuration/index.js';
import { listWatchMs } from '../../controllers/limits/index.js';
import type { EntryContext } from '../types.js';

/** A watch that can be started again after its end. */
export interface PlatformWatch {
  set(isWatching: boolean): void;
  contact(): 'reached' | 'unreached' | 'unwatched';
  /** Resolves when no call of an ended watch is under way. */
  settled(): Promise<void>;
}

/** A watch that begins after `revision()` and hands each answer to `takeList`. */
export function createPlatformWatch(
  { platform, random, logger, settings }: EntryContext,
  revision: () => number,
  takeList: (list: ObjectList) => void,
): PlatformWatch {
  let loop: WatchLoop | undefined;
  let isReached = false;
  let ending = Promise.resolve();

  const begin = (): void => {
    isReached = false;
    const started = createWatchLoop({
      platform,
      kinds: KEPT_KINDS,
      waitMs: listWatchMs(settings.limits.viewFreshMs, settings.platform.watchMs),
      since: revision(),
      random,
      logger,
      onList: (list) => {
        if (loop !== started) return;
        isReached = true;
        takeList(list);
      },
      onFailure: () => {
        if (loop === started) isReached = false;
      },
    });
    loop = started;
    started.start();
  };
  const end = (ended: WatchLoop): void => {
    loop = undefined;
    ending = Promise.all([ending, ended.stop()]).then(() => undefined);
  };

  return {
    set: (isWatching) => {
      if (isWatching && loop === undefined) begin();
      if (!isWatching && loop !== undefined) end(loop);
    },
    contact: () => {
      if (loop === undefined) return 'unwatched';
      return isReached ? 'reached' : 'unreached';
    },
    settled: () => ending,
  };
}
