/**
 * Work that must not begin before the input that has arrived was read.
 *
 * Timers run before input is read, and the events of one poll come in the order in which they became ready. A
 * process that was held up would otherwise send for callers whose connections have ended meanwhile.
 */
import type { Milliseconds } from '../clock/index.js';

/** What had arrived by then was read. */
let readUntil: Milliseconds = performance.now();

/**
 * Runs `callback` once all that had arrived was read. The data and the end of one connection are read in
 * two turns of the event loop.
 */
export function afterPendingInput(callback: () => void): void {
  setImmediate(() => {
    const readingFrom = performance.now();
    setImmediate(() => {
      readUntil = Math.max(readUntil, readingFrom);
      callback();
    });
  });
}

/** Resolves once all that had arrived was read. */
export function whenInputIsRead(): Promise<void> {
  return new Promise(afterPendingInput);
}

/** For how long input may have been waiting to be read, as seen by work that is begun here. */
export function unreadInputMs(): Milliseconds {
  return performance.now() - readUntil;
}
