/**
 * Property: what `settleSending` says of a write is true, whenever its sendings take effect.
 */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {
  resolveConflict,
  settleSending,
  type Sending,
} from '../../src/adapters/platform/settle.js';
import type { PlatformWrite, WriteOutcome } from '../../src/adapters/platform/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import type { Random } from '../../src/core/random/index.js';
import type { StoredObject } from '../../src/objects/index.js';

/** What befalls one sending: when it arrives, whether it is answered, who writes before it. */
const sendingFate = fc.record({
  arrival: fc.constantFrom('now', 'late', 'never'),
  isAnswered: fc.boolean(),
  otherWritesBefore: fc.boolean(),
});

const noWait: Random = { fraction: () => 0, below: () => 0 };
const write: PlatformWrite = { kind: 'model', name: 'm', expected: 1, nonce: 'own', value: 1 };

/** One object of the platform and whether our write ever took effect. */
function createCell() {
  let current: StoredObject = { ...write, version: 1, nonce: 'first', deleted: false };
  let effects = 0;
  const replace = (nonce: string): void => {
    current = { ...current, version: current.version + 1, nonce };
  };
  return {
    effects: () => effects,
    otherWrites: () => {
      replace('other');
    },
    arrive: (isRepeat: boolean): WriteOutcome => {
      if (current.version !== write.expected) return resolveConflict(write, current, isRepeat);
      replace(write.nonce);
      effects += 1;
      return { kind: 'written', object: current };
    },
  };
}

export async function checkSettledWrites(runs: number): Promise<void> {
  const fates = fc.array(sendingFate, { minLength: 3, maxLength: 3 });
  const holds = fc.asyncProperty(fates, async (plan) => {
    const cell = createCell();
    const fatesLeft = [...plan];
    let late = 0;
    const send = (isRepeat: boolean): Promise<Sending<WriteOutcome>> => {
      const fate = fatesLeft.shift();
      if (fate?.otherWritesBefore) cell.otherWrites();
      if (fate?.arrival === 'late') late += 1;
      if (fate?.arrival !== 'now') return Promise.resolve({ kind: 'lost', reason: 'no answer' });
      const value = cell.arrive(isRepeat);
      if (!fate.isAnswered) return Promise.resolve({ kind: 'lost', reason: 'no answer' });
      return Promise.resolve({ kind: 'answered', value });
    };
    const settled = await settleSending(send, { random: noWait, logger: silentLogger });
    const effectsWhenTold = cell.effects();
    for (; late > 0; late -= 1) cell.arrive(true);

    assert.ok(cell.effects() <= 1, 'the write took effect twice');
    if (settled.isErr()) return;
    assert.equal(cell.effects(), effectsWhenTold, 'it took effect after it was settled');
    if (settled.value.kind === 'written') assert.equal(cell.effects(), 1);
    else if (settled.value.maybeSuperseded === undefined) assert.equal(cell.effects(), 0);
  });
  await fc.assert(holds, { seed: 11, numRuns: runs });
}
