/**
 * Waiting no longer than a signal allows.
 */

/** Rejects when `signal` is aborted: undici itself notices only once it has a connection. */
export async function raceSignal<Value>(work: Promise<Value>, signal: AbortSignal): Promise<Value> {
  return new Promise((resolve, reject) => {
    const giveUp = (): void => {
      reject(signal.reason instanceof Error ? signal.reason : new Error('cancelled'));
    };
    if (signal.aborted) giveUp();
    signal.addEventListener('abort', giveUp, { once: true });
    work.then(resolve, reject).finally(() => {
      signal.removeEventListener('abort', giveUp);
    });
  });
}
