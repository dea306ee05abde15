/**
 * This entry's own watch of the platform, started and stopped as the fleet changes.
 */
import { createWatchLoop, type ObjectList, type WatchLoop } from '../../adapters/platform/index.js';
import { WATCHED_KINDS } from '../../controllers/configuration/index.js';
import { maxWatchMs } from '../../controllers/limits/index.js';
import type { EntryContext } from '../types.js';

/** A watch that can be restarted after it was stopped. */
export interface PlatformWatch {
  setWatching(isWatching: boolean): void;
  contact(): 'reached' | 'unreached' | 'unwatched';
  /** Resolves when no call of a stopped watch is in progress. */
  whenStopped(): Promise<void>;
}

/** Creates a watch that starts after `revision()` and passes each answer to `applyList`. */
export function createPlatformWatch(
  { platform, random, logger, settings }: EntryContext,
  revision: () => number,
  applyList: (list: ObjectList) => void,
): PlatformWatch {
  let loop: WatchLoop | undefined;
  let isReached = false;
  let pendingStops = Promise.resolve();

  const startLoop = (): void => {
    isReached = false;
    const started = createWatchLoop({
      platform,
      kinds: WATCHED_KINDS,
      waitMs: maxWatchMs(settings.limits.viewFreshMs, settings.platform.watchMs),
      since: revision(),
      random,
      logger,
      onList: (list) => {
        if (loop !== started) return;
        isReached = true;
        applyList(list);
      },
      onFailure: () => {
        if (loop === started) isReached = false;
      },
    });
    loop = started;
    started.start();
  };
  const stopLoop = (stoppedLoop: WatchLoop): void => {
    loop = undefined;
    pendingStops = Promise.all([pendingStops, stoppedLoop.stop()]).then(() => undefined);
  };

  return {
    setWatching: (isWatching) => {
      if (isWatching && loop === undefined) startLoop();
      if (!isWatching && loop !== undefined) stopLoop(loop);
    },
    contact: () => {
      if (loop === undefined) return 'unwatched';
      return isReached ? 'reached' : 'unreached';
    },
    whenStopped: () => pendingStops,
  };
}
