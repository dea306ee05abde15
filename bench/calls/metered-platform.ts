/**
 * A platform in this process that takes time, counts its calls, refuses those above its rate and
 * can be down.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type {
  Platform,
  PlatformFailure,
  PlatformWrite,
  WriteOutcome,
} from '../../src/adapters/platform/index.js';
import { createFailure } from '../../src/core/errors/index.js';
import type { StoredObject } from '../../src/objects/index.js';

export interface PlatformLimits {
  /** Calls that write, each second; as many may come at once after a pause. */
  writesPerSecond: number;
  latencyMs: number;
  /** Whether a batch counts as one call, or each of its writes as one. */
  counts: 'calls' | 'writes';
}

export interface MeteredPlatform {
  platform: Platform;
  objects: ReadonlyMap<string, StoredObject>;
  /** Calls that arrived, refused ones included. */
  calls(): number;
  setDown(down: boolean): void;
}

const MS_PER_SECOND = 1_000;

/** The platform of one case. */
export function createMeteredPlatform(limits: PlatformLimits): MeteredPlatform {
  const objects = new Map<string, StoredObject>();
  let revision = 0;
  let calls = 0;
  let down = false;
  let tokens = limits.writesPerSecond;
  let filledAt = performance.now();

  function takeTokens(count: number): boolean {
    const now = performance.now();
    const refill = ((now - filledAt) / MS_PER_SECOND) * limits.writesPerSecond;
    tokens = Math.min(limits.writesPerSecond, tokens + refill);
    filledAt = now;
    if (tokens < count) return false;
    tokens -= count;
    return true;
  }

  function apply(write: PlatformWrite): WriteOutcome {
    const id = `${write.kind}/${write.name}`;
    const current = objects.get(id);
    if ((current?.version ?? 0) !== write.expected) return { kind: 'conflict', current };
    revision += 1;
    const { kind, name, nonce, deleted = false, value } = write;
    const object = { kind, name, nonce, deleted, value, version: revision };
    objects.set(id, object);
    return { kind: 'written', object };
  }

  async function call(
    writes: readonly PlatformWrite[],
  ): Promise<Result<WriteOutcome[], PlatformFailure>> {
    const counted = limits.counts === 'calls' ? 1 : writes.length;
    calls += counted;
    await sleep(limits.latencyMs);
    if (down) return err(createFailure('platformUnavailable', { reason: 'it is in an outage' }));
    if (!takeTokens(counted)) {
      const reason = 'too many calls';
      return err(createFailure('platformUnavailable', { reason }, MS_PER_SECOND));
    }
    return ok(writes.map(apply));
  }

  const none = (): ResultAsync<never, PlatformFailure> =>
    new ResultAsync(
      Promise.resolve(err(createFailure('platformUnavailable', { reason: 'not modelled' }))),
    );
  const platform: Platform = {
    onReturn: () => () => undefined,
    list: none,
    read: none,
    watch: none,
    write: (write) =>
      new ResultAsync(call([write])).andThen(([outcome]) =>
        outcome ? ok(outcome) : err(createFailure('platformUnavailable', { reason: 'none' })),
      ),
    writeBatch: (writes) => new ResultAsync(call(writes)),
  };
  return {
    platform,
    objects,
    calls: () => calls,
    setDown: (isDown) => {
      down = isDown;
    },
  };
}
