/**
 * Work that must not begin before the input that has arrived was read.
 */
import { InputFirstQueue } from './input-first-queue.js';

/** What sends for callers begins here, wherever in the process it is. */
export const inputFirst = new InputFirstQueue({
  now: () => performance.now(),
  onNextTurn: setImmediate,
});

/** Calls `begin` once all that had arrived was read, and resolves with what it returns. */
export function whenInputIsRead<Value>(begin: () => Value | Promise<Value>): Promise<Value> {
  return new Promise((resolve, reject) => {
    inputFirst.add(() => {
      try {
        resolve(begin());
      } catch (error) {
        reject(error instanceof Error ? error : new Error(String(error)));
      }
    });
  });
}
