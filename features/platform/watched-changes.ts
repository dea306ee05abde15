/**
 * Property: a watch loop misses no change and ends up with the platform's state.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import assert from 'node:assert/strict';
import fc from 'fast-check';
import type { PlatformClient } from '../../src/adapters/platform/index.js';
import type { StoredObject } from '../../src/objects/index.js';
import type { PlatformStandIn } from '../../src/stand-ins/platform/index.js';
import { waitFor } from '../support/waiting.js';
import { startWatcher } from './fixture.js';

const changeArbitrary = fc.record({
  kind: fc.constantFrom('instance' as const, 'model' as const, 'service' as const),
  name: fc.constantFrom('a', 'b', 'c'),
  isRemoval: fc.boolean(),
  lagMs: fc.constantFrom(0, 3, 15),
  /** Allows a watch to be answered before the next change. */
  pausesAfter: fc.boolean(),
});

const WATCHED_KINDS = ['instance', 'model', 'service'] as const;

async function readState(client: PlatformClient): Promise<StoredObject[]> {
  const all = await client.watch(WATCHED_KINDS, 0, 0);
  return all._unsafeUnwrap().objects;
}

export async function checkWatchedChanges(
  platform: PlatformStandIn,
  client: PlatformClient,
  runs: number,
): Promise<void> {
  const property = fc.asyncProperty(
    fc.array(changeArbitrary, { minLength: 20, maxLength: 60 }),
    async (changes) => {
      const watcher = startWatcher(client);
      const newest = new Map<string, string>();
      for (const { kind, name, isRemoval, lagMs, pausesAfter } of changes) {
        platform.control({ instanceLagMs: lagMs });
        const object = isRemoval ? platform.remove(kind, name) : platform.put(kind, name, {});
        newest.set(`${kind}/${name}`, object.nonce);
        if (pausesAfter) await sleep(1);
      }
      await waitFor('every newest change to be visible', async () => {
        const state = await readState(client);
        return [...newest].every(([key, nonce]) =>
          state.some((object) => `${object.kind}/${object.name}` === key && object.nonce === nonce),
        );
      });
      const state = await readState(client);
      const isCaughtUp = (): boolean => watcher.lists.at(-1)?.revision === state.at(-1)?.version;
      await waitFor('the watch loop to catch up', isCaughtUp, 5_000).finally(() =>
        watcher.loop.stop(),
      );
      for (const object of state) {
        assert.deepEqual(watcher.seen.get(`${object.kind}/${object.name}`), object);
      }
    },
  );
  await fc.assert(property, { seed: 5, numRuns: runs });
}
