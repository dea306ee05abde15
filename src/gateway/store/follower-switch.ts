/**
 * A follower of the store that is on while this gateway has to follow itself.
 */
import type { WritableSection } from '../../board/index.js';
import { ageOf, boundProofs, laterProof, type Proof } from '../../controllers/freshness/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { GatewayContext } from '../types.js';
import { createFollower, type Follower, type FollowOptions } from './follow.js';

/** For whom a gateway follows the store. */
export type FollowMode =
  /** Another gateway tells what it hears. */
  | 'off'
  /** Only for itself, while it can't rely on the one that follows for all. */
  | 'forItself'
  /** For its whole failure domain. */
  | 'forDomain';

/** What is known stays when it is turned off. */
export interface FollowerSwitch {
  isOn(): boolean;
  turn(mode: FollowMode): void;
  doubtCallsBefore(at: Milliseconds): void;
  listAnew(): void;
  stop(): Promise<void>;
}

/**
 * The wait before a silent store is asked again. The one that follows for others asks often: its news
 * of the store's return are everybody's. The others ask seldom, since all of them do in an outage.
 * A store of 4 ms answers within either unless it is a hundred times slower, which only costs calls.
 */
const ASK_AGAIN_MS: Readonly<Record<FollowMode, Milliseconds>> = {
  off: 1_200,
  forItself: 1_200,
  forDomain: 400,
};

interface FollowerSwitchOptions extends Pick<
  FollowOptions,
  'store' | 'kind' | 'pauseMs' | 'onList' | 'onChanges'
> {
  context: GatewayContext;
  /** Within this, gateways must know of a change. */
  boundMs: Milliseconds;
  /** Of the belief that the follower keeps, whoever brought it. */
  proof: WritableSection<Proof | undefined>;
}

/** Off at first. */
export function createFollowerSwitch({
  context,
  proof,
  ...options
}: FollowerSwitchOptions): FollowerSwitch {
  const { clock, logger, random, settings } = context;
  const { askAfterMs } = boundProofs(options.boundMs);
  let mode: FollowMode = 'off';
  let follower: Follower | undefined;
  let ending: Promise<unknown> = Promise.resolve();

  const begin = (): Follower => {
    const created = createFollower({
      ...options,
      clock,
      random,
      watchMs: settings.store.watchMs,
      proofDueInMs: () => askAfterMs - (ageOf(proof.read(), clock.now()) ?? Infinity),
      askAgainMs: () => ASK_AGAIN_MS[mode],
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
  const end = (): void => {
    ending = Promise.all([ending, follower?.stop()]);
    follower = undefined;
  };
  return {
    isOn: () => follower !== undefined,
    turn: (next) => {
      mode = next;
      if (next === 'off') end();
      else follower ??= begin();
    },
    doubtCallsBefore: (at) => {
      follower?.doubtCallsBefore(at);
    },
    listAnew: () => {
      follower?.listAnew();
    },
    stop: async () => {
      end();
      await ending;
    },
  };
}
