/**
 * The platform as the entries use it.
 */
import type { ResultAsync } from 'neverthrow';
import type { Failure } from '../../core/errors/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ObjectKind, StoredObject } from '../../objects/index.js';
import type { ObjectList } from './protocol.js';

/** One conditional write. `expected` 0 means that the object must not exist. */
export interface PlatformWrite {
  kind: ObjectKind;
  name: string;
  expected: number;
  nonce: string;
  deleted?: boolean;
  value: unknown;
}

/**
 * How a conditional write ended. A lost answer is settled by sending the same write again and
 * comparing nonces; only when that fails as well is the failure `platformOutcomeUnknown`.
 */
export type WriteOutcome =
  | { kind: 'written'; object: StoredObject }
  /** Not in force, and it can't come into force any more. */
  | {
      kind: 'conflict';
      current: StoredObject | undefined;
      /** An answer was lost: it may have been in force for a while before `current`. */
      maybeSuperseded?: true;
    };

export type PlatformFailure = Failure<
  'platformUnavailable' | 'platformOutcomeUnknown' | 'messageInvalid' | 'objectInvalid'
>;

/**
 * The object API. Reads end within their timeout. A write is sent up to three times, as
 * {@link WriteOutcome} says, and so ends within three timeouts and half a second; it may have taken
 * effect at any moment since it was first sent.
 */
export interface Platform {
  list(kind: ObjectKind): ResultAsync<ObjectList, PlatformFailure>;
  read(kind: ObjectKind, name: string): ResultAsync<StoredObject | undefined, PlatformFailure>;
  write(write: PlatformWrite): ResultAsync<WriteOutcome, PlatformFailure>;
  /** Several writes in one call; each succeeds or conflicts on its own. */
  writeBatch(writes: readonly PlatformWrite[]): ResultAsync<WriteOutcome[], PlatformFailure>;
  /** Changes after `since`; empty after `waitMs` without any. */
  watch(
    kinds: readonly ObjectKind[],
    since: number,
    waitMs: Milliseconds,
    /** Ends the call early, as `platformUnavailable`. */
    signal?: AbortSignal,
  ): ResultAsync<ObjectList, PlatformFailure>;
  /**
   * Calls `listener` when a call is answered and the one before had no answer: what was sent
   * earlier and still waits may wait in vain. Returns the end of the subscription.
   */
  onReturn(listener: () => void): () => void;
}
