/**
 * The planned stop of an entry: it cuts off no request in flight.
 *
 * First the balancer and the other entries learn that this one leaves and its fabric domains are
 * given away; new callers are still served while the balancer has not noticed. Then new requests
 * are refused, and everything accepted is finished. The digest goes on until the end, since others
 * wait for its counts of requests in flight before they stop a backend server.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../core/clock/index.js';
import type { EntryParts } from './running-entry.js';
import type { EntryContext } from './types.js';

/** How long other entries are waited for to learn that this one has gone. */
const FAREWELL_MS = 2_000;

/** Ends the entry in order; a second call waits for the first. */
export function stopEntry(context: EntryContext, parts: EntryParts): Promise<void> {
  parts.stopped ??= performStop(context, parts);
  return parts.stopped;
}

/** Ends an entry that could not open all its listeners; it never had a caller. */
export async function abandonEntry(parts: EntryParts): Promise<void> {
  await parts.onceCalls.stop();
  await stopParts(parts);
  await closeConnections(parts);
}

async function performStop(context: EntryContext, parts: EntryParts): Promise<void> {
  const { logger, settings } = context;
  const { balancerMs, drainMs } = settings.stopping;
  logger.log('entryStopping');
  parts.isLeaving = true;
  parts.membership.announceStopping();
  // Not waited for before requests are refused: while the platform is silent, requests would be taken
  // for seconds beyond the balancer's span, which whoever kills the process in the end doesn't grant.
  const handedOver = parts.replicas.handOver();
  await sleep(balancerMs);
  parts.requests.beginStopping();
  const isFinished = await endsWithin(finishRequests(parts, balancerMs), drainMs);
  if (!isFinished) parts.requests.noteCut();
  await parts.callers.close();
  await Promise.all([handedOver, parts.onceCalls.stop()]);
  await parts.membership.whenHandedOver(FAREWELL_MS);
  await stopParts(parts);
  await closeConnections(parts);
  logger.log('entryStopped');
}

async function finishRequests(
  { callers, requests }: EntryParts,
  graceMs: Milliseconds,
): Promise<void> {
  await Promise.all([callers.drain(graceMs), requests.whenIdle()]);
}

/** Whether `work` ended in time: a caller that never takes its answer must not hold a stop up. */
async function endsWithin(work: Promise<void>, limitMs: Milliseconds): Promise<boolean> {
  const ended = new AbortController();
  const limit = sleep(limitMs, false, { signal: ended.signal }).catch(() => false);
  const isDone = await Promise.race([work.then(() => true), limit]);
  ended.abort();
  return isDone;
}

async function stopParts(parts: EntryParts): Promise<void> {
  const { requests, replicas, limits, health, membership, configuration } = parts;
  for (const part of [requests, replicas, limits, health, membership, configuration]) {
    await part.stop();
  }
}

async function closeConnections({ operators, peerServer, clients }: EntryParts): Promise<void> {
  await Promise.all([operators, peerServer, ...clients].map((closable) => closable.close()));
}
