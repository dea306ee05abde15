/**
 * Holds requests that arrive before a gateway that has just started knows its configuration.
 *
 * Most callers retry a rejected request at most once, and the configuration usually arrives within a few
 * hundred milliseconds: waiting for it answers more requests, and sooner.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { GatewayContext } from '../types.js';

/** Time after the start within which the configuration is expected. */
const STARTUP_MS: Milliseconds = 1_500;

/** Resolves when the configuration is known or is no longer expected soon. */
export type StartupWait = () => Promise<void>;

export function createStartupWait({
  board,
  clock,
}: Pick<GatewayContext, 'board' | 'clock'>): StartupWait {
  const expectedUntil = clock.now() + STARTUP_MS;
  let isOver = false;
  const waiting = new Set<() => void>();
  const end = (): void => {
    isOver = true;
    for (const resume of waiting) resume();
    waiting.clear();
  };
  board.serving.subscribe(() => {
    if (!isOver && board.serving.read() !== undefined) end();
  });
  return async () => {
    const leftMs = expectedUntil - clock.now();
    if (isOver || leftMs <= 0 || board.serving.read() !== undefined) return;
    await new Promise<void>((resolve) => {
      waiting.add(resolve);
      setTimeout(end, leftMs).unref();
    });
  };
}
