/**
 * Waiting on observed state.
 */
import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 20;
const LONGEST_WAIT_MS = 30_000;

/**
 * Asks again until `observe` returns something other than undefined or false, and returns that.
 * Fails with `what` after `timeoutMs`; an observation that throws counts as not yet.
 *
 * @example await waitFor('the entry to be ready', () => isReady(entry));
 */
export async function waitFor<Value>(
  what: string,
  observe: () => Promise<Value | undefined | false> | Value | undefined | false,
  timeoutMs: number = LONGEST_WAIT_MS,
): Promise<Value> {
  const giveUpAt = performance.now() + timeoutMs;
  let lastError: unknown;
  while (performance.now() < giveUpAt) {
    try {
      const value = await observe();
      if (value !== undefined && value !== false) return value;
    } catch (error) {
      lastError = error;
    }
    await sleep(POLL_MS);
  }
  throw new Error(`waited ${timeoutMs} ms in vain for ${what}`, { cause: lastError });
}
