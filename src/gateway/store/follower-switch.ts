/**
 * A follower of the store that runs only while this gateway has to follow the store itself.
 */
import type { WritableSection } from '../../board/index.js';
import {
  proofAge,
  computeProofBounds,
  laterProof,
  type Proof,
} from '../../controllers/freshness/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { GatewayContext } from '../types.js';
import { createFollower, type Follower, type FollowOptions } from './follower.js';

/** On whose behalf a gateway follows the store. */
export type FollowMode =
  /** Another gateway relays its updates. */
  | 'off'
  /** Only for itself, while the gateway that follows for the domain is not reliable. */
  | 'forItself'
  /** For its whole failure domain. */
  | 'forDomain';

/** Turning the follower off keeps the data received so far. */
export interface FollowerSwitch {
  isOn(): boolean;
  setMode(mode: FollowMode): void;
  abortCallsBefore(at: Milliseconds): void;
  relist(): void;
  stop(): Promise<void>;
}

/**
 * Time without an answer after which a call is repeated. The gateway that follows for its domain
 * repeats calls often, since the others depend on it; the others do so rarely, to limit the load on
 * the store. A store that usually answers in 4 ms has to be a hundred times slower to be asked twice.
 */
const RETRY_AFTER_MS: Readonly<Record<FollowMode, Milliseconds>> = {
  off: 1_200,
  forItself: 1_200,
  forDomain: 400,
};
/** The same while the store is unreachable, for gateways that follow for themselves. */
const RETRY_UNREACHABLE_MS: Milliseconds = 2_000;
/** Longest wait of a follower that another one's calls wake when the store is reachable again. */
const MAX_UNREACHABLE_WAIT_MS: Milliseconds = 8_000;
/** Shortest pause after a change for gateways that follow for themselves. */
const MIN_OWN_COALESCE_MS: Milliseconds = 500;

interface FollowerSwitchOptions extends Pick<
  FollowOptions,
  'store' | 'kind' | 'onList' | 'onChanges'
> {
  context: GatewayContext;
  /**
   * Time without an answer after which a gateway that follows for itself repeats a call; the default is
   * long, to limit the load on the store.
   */
  ownRetryMs?: Milliseconds;
  /** Pause after a change of the gateway that follows for its domain. */
  coalesceMs: Milliseconds;
  /** Whether calls of another follower show when the store is reachable again. */
  waitsForReachability: boolean;
  /** Time within which gateways must know of a change. */
  maxStalenessMs: Milliseconds;
  /** Freshness of the followed data, from the store or a peer. */
  proof: WritableSection<Proof | undefined>;
}

/** Creates a switch that is off. */
export function createFollowerSwitch({
  context,
  proof,
  coalesceMs,
  waitsForReachability,
  ownRetryMs = RETRY_AFTER_MS.forItself,
  ...options
}: FollowerSwitchOptions): FollowerSwitch {
  const { board, clock, logger, random, settings } = context;
  const { recheckAfterMs } = computeProofBounds(options.maxStalenessMs);
  let mode: FollowMode = 'off';
  let follower: Follower | undefined;
  let stopping: Promise<unknown> = Promise.resolve();

  const retryAfterMs = (): Milliseconds => {
    const isUnreachable = mode !== 'forDomain' && !board.storeReachability.read().reachable;
    if (!isUnreachable) return mode === 'forItself' ? ownRetryMs : RETRY_AFTER_MS[mode];
    return waitsForReachability ? MAX_UNREACHABLE_WAIT_MS : RETRY_UNREACHABLE_MS;
  };
  const startFollower = (): Follower => {
    const created = createFollower({
      ...options,
      clock,
      random,
      watchMs: settings.store.watchMs,
      proofDueInMs: () => recheckAfterMs - (proofAge(proof.read(), clock.now()) ?? Infinity),
      retryAfterMs,
      coalesceMs: () =>
        mode === 'forDomain' ? coalesceMs : Math.max(coalesceMs, MIN_OWN_COALESCE_MS),
      onError: (error) => {
        logger.log('unexpectedError', {
          reason: String(error),
          where: `following ${options.kind}`,
        });
      },
      onSilentWatch: (waitedMs) => {
        logger.log('watchSilent', { kind: options.kind, waitedMs: Math.round(waitedMs) });
      },
      onProof: (at) => {
        proof.write(laterProof(proof.read(), { at, source: 'store' }));
      },
    });
    created.start();
    return created;
  };
  const stopFollower = (): void => {
    stopping = Promise.all([stopping, follower?.stop()]);
    follower = undefined;
  };
  return {
    isOn: () => follower !== undefined,
    setMode: (next) => {
      mode = next;
      if (next === 'off') stopFollower();
      else follower ??= startFollower();
    },
    abortCallsBefore: (at) => {
      follower?.abortCallsBefore(at);
    },
    relist: () => {
      follower?.relist();
    },
    stop: async () => {
      stopFollower();
      await stopping;
    },
  };
}
