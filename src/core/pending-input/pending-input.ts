/**
 * Work that must not begin before the input that has arrived was read.
 *
 * Timers run before input is read, and the events of one poll come in the order in which they became ready. A
 * process that was held up would otherwise send for callers whose connections have ended meanwhile.
 */

/**
 * Runs `callback` once all that had arrived was read. The data and the end of one connection are read in
 * two turns of the event loop.
 */
export function afterPendingInput(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}

/** Resolves once all that had arrived was read. */
export function whenInputIsRead(): Promise<void> {
  return new Promise(afterPendingInput);
}
