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

/** A promise until the configuration is known or no longer expected soon; undefined from then on. */
export type StartupWait = () => Promise<void> | undefined;

export function createStartupWait({
  board,
  clock,
}: Pick<GatewayContext, 'board' | 'clock'>): StartupWait {
  const expectedUntil = clock.now() + STARTUP_MS;
  const isOver = (): boolean => board.serving.read() !== undefined || clock.now() >= expectedUntil;
  const over = new Promise<void>((resolve) => {
    setTimeout(resolve, STARTUP_MS).unref();
    board.serving.subscribe(resolve);
  });
  return () => (isOver() ? undefined : over);
}
