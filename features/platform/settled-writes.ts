/**
 * Property: the outcome that `settleSending` reports is correct, whenever the sendings take effect.
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

/** One sending: when it arrives, whether it is answered, whether another write comes before it. */
const sendingArbitrary = fc.record({
  arrival: fc.constantFrom('now', 'late', 'never'),
  isAnswered: fc.boolean(),
  otherWritesBefore: fc.boolean(),
});

const zeroRandom: Random = { fraction: () => 0, below: () => 0 };
const write: PlatformWrite = { kind: 'model', name: 'm', expected: 1, nonce: 'own', value: 1 };

/** Simulates one object of the platform and counts how often the write under test took effect. */
function createSimulatedObject() {
  let current: StoredObject = { ...write, version: 1, nonce: 'first', deleted: false };
  let effectCount = 0;
  const replace = (nonce: string): void => {
    current = { ...current, version: current.version + 1, nonce };
  };
  return {
    effectCount: () => effectCount,
    writeByOther: () => {
      replace('other');
    },
    applyWrite: (isRepeat: boolean): WriteOutcome => {
      if (current.version !== write.expected) return resolveConflict(write, current, isRepeat);
      replace(write.nonce);
      effectCount += 1;
      return { kind: 'written', object: current };
    },
  };
}

export async function checkSettledWrites(runs: number): Promise<void> {
  const sendingsArbitrary = fc.array(sendingArbitrary, { minLength: 3, maxLength: 3 });
  const property = fc.asyncProperty(sendingsArbitrary, async (sendings) => {
    const simulatedObject = createSimulatedObject();
    const remainingSendings = [...sendings];
    let lateSendings = 0;
    const send = (isRepeat: boolean): Promise<Sending<WriteOutcome>> => {
      const sending = remainingSendings.shift();
      if (sending?.otherWritesBefore) simulatedObject.writeByOther();
      if (sending?.arrival === 'late') lateSendings += 1;
      if (sending?.arrival !== 'now') return Promise.resolve({ kind: 'lost', reason: 'no answer' });
      const value = simulatedObject.applyWrite(isRepeat);
      if (!sending.isAnswered) return Promise.resolve({ kind: 'lost', reason: 'no answer' });
      return Promise.resolve({ kind: 'answered', value });
    };
    const settled = await settleSending(send, { random: zeroRandom, logger: silentLogger });
    const effectsWhenSettled = simulatedObject.effectCount();
    for (; lateSendings > 0; lateSendings -= 1) simulatedObject.applyWrite(true);

    assert.ok(simulatedObject.effectCount() <= 1, 'the write took effect twice');
    if (settled.isErr()) return;
    assert.equal(
      simulatedObject.effectCount(),
      effectsWhenSettled,
      'the write took effect after it was settled',
    );
    if (settled.value.kind === 'written') assert.equal(simulatedObject.effectCount(), 1);
    else if (settled.value.maybeSuperseded === undefined)
      assert.equal(simulatedObject.effectCount(), 0);
  });
  await fc.assert(property, { seed: 11, numRuns: runs });
}
