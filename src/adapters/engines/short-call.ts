/**
 * A call with a small answer that is read whole.
 */
import type { Dispatcher } from 'undici';
import type { Milliseconds } from '../../core/clock/index.js';
import { raceSignal } from './race-signal.js';

/** An answer, read whole. */
export interface WholeAnswer {
  status: number;
  body: string;
}

/** Makes a short call; rejects at `timeoutMs` also when no connection has been made by then. */
export async function callWhole(
  dispatcher: Dispatcher,
  address: string,
  path: string,
  method: 'GET' | 'POST',
  timeoutMs: Milliseconds,
): Promise<WholeAnswer> {
  const giveUp = new AbortController();
  const { signal } = giveUp;
  const answer = async (): Promise<WholeAnswer> => {
    const response = await dispatcher.request({
      origin: `http://${address}`,
      path,
      method,
      signal,
    });
    return { status: response.statusCode, body: await response.body.text() };
  };
  const timer = setTimeout(() => {
    giveUp.abort(new Error(`no answer within ${timeoutMs} ms`));
  }, timeoutMs);
  try {
    return await raceSignal(answer(), signal);
  } finally {
    clearTimeout(timer);
  }
}
