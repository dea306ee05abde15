/**
 * In-process fake of the platform with a link per entry that supports fault injection.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type {
  Platform,
  PlatformFailure,
  PlatformWrite,
  WriteOutcome,
} from '../../src/adapters/platform/index.js';
import { createFailure } from '../../src/core/errors/index.js';
import type { StoredObject } from '../../src/objects/index.js';

/** Fault applied to the write calls of one entry. */
export type LinkFault =
  | 'none'
  /** Calls fail without taking effect. */
  | 'outage'
  /** Writes take effect, but the response is lost. */
  | 'answersLost'
  /** The response is lost; writes take effect when `deliverLateWrites` is called. */
  | 'late'
  /** Calls are held until `releaseHeld` is called, then processed as with `none`. */
  | 'held'
  /** Writes take effect at once; the response is held until `releaseHeld` is called. */
  | 'answersHeld';

export interface Link {
  platform: Platform;
  fault: LinkFault;
  deliverLateWrites(): void;
  releaseHeld(): void;
  /** Number of calls that wait for `deliverLateWrites` or `releaseHeld`. */
  pendingCount(): number;
}

/** Stores versioned objects and counts the calls. */
export class FakePlatform {
  readonly objects = new Map<string, StoredObject>();
  calls = 0;
  #revision = 0;

  apply(write: PlatformWrite): WriteOutcome {
    const id = `${write.kind}/${write.name}`;
    const current = this.objects.get(id);
    if ((current?.version ?? 0) !== write.expected) return { kind: 'conflict', current };
    this.#revision += 1;
    const { kind, name, nonce, deleted = false } = write;
    const value: unknown = deleted ? null : JSON.parse(JSON.stringify(write.value));
    const object: StoredObject = { kind, name, nonce, deleted, value, version: this.#revision };
    this.objects.set(id, object);
    return { kind: 'written', object };
  }

  connect(): Link {
    const lateWrites: (() => void)[] = [];
    const heldCalls: (() => void)[] = [];
    const link: Link = {
      fault: 'none',
      deliverLateWrites: () => {
        for (const deliver of lateWrites.splice(0)) deliver();
      },
      releaseHeld: () => {
        for (const release of heldCalls.splice(0)) release();
      },
      pendingCount: () => lateWrites.length + heldCalls.length,
      platform: {
        onReturn: () => () => undefined,
        list: () => failUnavailable(),
        watch: () => failUnavailable(),
        read: (kind, name) => this.#read(link, `${kind}/${name}`),
        write: (write) =>
          new ResultAsync(this.#call(link, [write], lateWrites, heldCalls)).andThen(([outcome]) =>
            outcome ? ok(outcome) : err(createFailure('platformUnavailable', { reason: 'none' })),
          ),
        writeBatch: (writes) => new ResultAsync(this.#call(link, writes, lateWrites, heldCalls)),
      },
    };
    return link;
  }

  #read(link: Link, id: string): ResultAsync<StoredObject | undefined, PlatformFailure> {
    this.calls += 1;
    if (link.fault === 'none') return new ResultAsync(Promise.resolve(ok(this.objects.get(id))));
    return failUnavailable();
  }

  async #call(
    link: Link,
    writes: readonly PlatformWrite[],
    lateWrites: (() => void)[],
    heldCalls: (() => void)[],
  ): Promise<Result<WriteOutcome[], PlatformFailure>> {
    this.calls += 1;
    const apply = (): WriteOutcome[] => writes.map((write) => this.apply(write));
    await Promise.resolve();
    switch (link.fault) {
      case 'none':
        return ok(apply());
      case 'outage':
        return failUnavailable();
      case 'answersLost':
        apply();
        return loseAnswer();
      case 'late':
        lateWrites.push(apply);
        return loseAnswer();
      case 'held':
        await new Promise<void>((resolve) => heldCalls.push(resolve));
        return ok(apply());
      case 'answersHeld': {
        const outcomes = apply();
        await new Promise<void>((resolve) => heldCalls.push(resolve));
        return ok(outcomes);
      }
    }
  }
}

function failUnavailable(): ResultAsync<never, PlatformFailure> {
  return new ResultAsync(
    Promise.resolve(err(createFailure('platformUnavailable', { reason: 'outage' }))),
  );
}

function loseAnswer(): Result<never, PlatformFailure> {
  return err(createFailure('platformOutcomeUnknown', { reason: 'the answer is lost' }));
}
