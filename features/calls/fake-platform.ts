/**
 * A platform in the test's own process, with one link to each entry that can be made to fail.
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

/** What becomes of the write calls of one entry. */
export type LinkFault =
  | 'none'
  /** Refused, without effect. */
  | 'outage'
  /** In effect, and the answer is lost. */
  | 'answersLost'
  /** The answer is lost, and the write takes effect when `land` is called. */
  | 'late'
  /** No answer comes until `release` is called; then as with `none`. */
  | 'held'
  /** In effect at once, and the answer comes when `release` is called. */
  | 'answersHeld';

export interface Link {
  platform: Platform;
  fault: LinkFault;
  land(): void;
  release(): void;
  /** Writes that wait for `land` or `release`. */
  waiting(): number;
}

/** The objects, their versions, and the calls that were made. */
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
    const late: (() => void)[] = [];
    const held: (() => void)[] = [];
    const link: Link = {
      fault: 'none',
      land: () => {
        for (const landing of late.splice(0)) landing();
      },
      release: () => {
        for (const release of held.splice(0)) release();
      },
      waiting: () => late.length + held.length,
      platform: {
        onReturn: () => () => undefined,
        list: () => unavailable(),
        watch: () => unavailable(),
        read: (kind, name) => this.#read(link, `${kind}/${name}`),
        write: (write) =>
          new ResultAsync(this.#call(link, [write], late, held)).andThen(([outcome]) =>
            outcome ? ok(outcome) : err(createFailure('platformUnavailable', { reason: 'none' })),
          ),
        writeBatch: (writes) => new ResultAsync(this.#call(link, writes, late, held)),
      },
    };
    return link;
  }

  #read(link: Link, id: string): ResultAsync<StoredObject | undefined, PlatformFailure> {
    this.calls += 1;
    if (link.fault === 'none') return new ResultAsync(Promise.resolve(ok(this.objects.get(id))));
    return unavailable();
  }

  async #call(
    link: Link,
    writes: readonly PlatformWrite[],
    late: (() => void)[],
    held: (() => void)[],
  ): Promise<Result<WriteOutcome[], PlatformFailure>> {
    this.calls += 1;
    const apply = (): WriteOutcome[] => writes.map((write) => this.apply(write));
    await Promise.resolve();
    switch (link.fault) {
      case 'none':
        return ok(apply());
      case 'outage':
        return unavailable();
      case 'answersLost':
        apply();
        return lost();
      case 'late':
        late.push(apply);
        return lost();
      case 'held':
        await new Promise<void>((resolve) => held.push(resolve));
        return ok(apply());
      case 'answersHeld': {
        const outcomes = apply();
        await new Promise<void>((resolve) => held.push(resolve));
        return ok(outcomes);
      }
    }
  }
}

function unavailable(): ResultAsync<never, PlatformFailure> {
  return new ResultAsync(
    Promise.resolve(err(createFailure('platformUnavailable', { reason: 'outage' }))),
  );
}

function lost(): Result<never, PlatformFailure> {
  return err(createFailure('platformOutcomeUnknown', { reason: 'the answer is lost' }));
}
