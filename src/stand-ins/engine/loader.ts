/**
 * Bringing weights into an engine: from a weight store, or by the clock alone.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import type { ResolvedSettings } from './settings.js';

/** Which weights. */
export interface Weights {
  model: string;
  version: string;
}

const RETRY_MS = 200;

/** Ends when the weights are there; rejects only when `signal` is aborted. */
export async function loadWeights(
  settings: Pick<ResolvedSettings, 'weightStore' | 'loadMs'>,
  weights: Weights,
  signal: AbortSignal,
): Promise<void> {
  if (settings.weightStore === undefined) {
    await sleep(settings.loadMs, undefined, { signal });
    return;
  }
  while (!(await fetchWeights(settings.weightStore, weights, signal))) {
    await sleep(RETRY_MS, undefined, { signal });
  }
}

async function fetchWeights(
  store: string,
  { model, version }: Weights,
  signal: AbortSignal,
): Promise<boolean> {
  const path = `/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
  try {
    const { statusCode, body } = await request(`http://${store}${path}`, { signal });
    await body.dump({ limit: Number.MAX_SAFE_INTEGER, signal });
    return statusCode === 200;
  } catch {
    signal.throwIfAborted();
    return false;
  }
}
