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
  /** The entity tag, when the answer had one. */
  etag?: string;
}

/** Makes a short call; rejects at `timeoutMs` also when no connection has been made by then. */
export async function callWhole(
  dispatcher: Dispatcher,
  address: string,
  path: string,
  method: 'GET' | 'POST',
  timeoutMs: Milliseconds,
  headers: Readonly<Record<string, string>> = {},
): Promise<WholeAnswer> {
  const giveUp = new AbortController();
  const { signal } = giveUp;
  const answer = async (): Promise<WholeAnswer> => {
    const response = await dispatcher.request({
      origin: `http://${address}`,
      path,
      method,
      headers,
      signal,
    });
    const { etag } = response.headers;
    const whole = { status: response.statusCode, body: await response.body.text() };
    return typeof etag === 'string' ? { ...whole, etag } : whole;
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
