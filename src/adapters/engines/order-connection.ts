/**
 * One order over a connection of its own, which is closed when the order takes too long.
 *
 * An owner only sends an order while its lease has more left than the order can take, so the order must not be
 * delivered later. Bytes that the engine's machine has already received can't be called back; engines that check
 * the fencing number refuse them.
 */
import { Client, type Dispatcher } from 'undici';
import type { Milliseconds } from '../../core/clock/index.js';
import { createConnector, requireFinalResponse } from '../../core/sockets/index.js';
import type { WholeAnswer } from './short-call.js';

/** Sends `body` and reads the answer; rejects when all that took longer than `timeoutMs`. */
export async function sendOnce(
  origin: string,
  path: string,
  body: string,
  timeoutMs: Milliseconds,
  maxAnswerBytes: number,
): Promise<WholeAnswer> {
  const client = new Client(origin, {
    maxResponseSize: maxAnswerBytes,
    connect: createConnector(timeoutMs),
  });
  const giveUp = new AbortController();
  const timer = setTimeout(() => {
    giveUp.abort(new Error(`no answer within ${timeoutMs} ms`));
  }, timeoutMs);
  try {
    return await exchange(client.compose(requireFinalResponse), path, body, giveUp.signal);
  } finally {
    clearTimeout(timer);
    await client.destroy();
  }
}

async function exchange(
  client: Dispatcher,
  path: string,
  body: string,
  signal: AbortSignal,
): Promise<WholeAnswer> {
  const request: Dispatcher.RequestOptions = {
    method: 'POST',
    path,
    headers: { 'content-type': 'application/json' },
    body,
    signal,
  };
  const answer = await client.request(request);
  return { status: answer.statusCode, body: await answer.body.text() };
}
