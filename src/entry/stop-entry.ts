/**
 * The graceful shutdown of an entry, which lets requests in flight finish within a time limit.
 *
 * First the load balancer and the other entries are notified and the fabric domains handed over;
 * new requests are still accepted until the load balancer has reacted. Then new requests are
 * refused and accepted ones finished; those that are not finished in time are told that they may have
 * run, or that they did not. Digests are sent until the end, since others wait for their
 * counts of requests in flight before they stop a backend server.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../core/clock/index.js';
import type { EntryParts } from './running-entry.js';
import type { EntryContext } from './types.js';

/** Maximum wait for peers to receive the last digest. */
const DIGEST_DELIVERY_TIMEOUT_MS = 2_000;
/** Time for the answers to requests that the end of the grace period interrupts. */
const LAST_ANSWERS_MS = 500;

/** Stops the entry gracefully; repeated calls return the same promise. */
export function stopEntry(context: EntryContext, parts: EntryParts): Promise<void> {
  parts.stopCompleted ??= performStop(context, parts);
  return parts.stopCompleted;
}

/** Stops an entry that failed to open all its listeners, and so has accepted no requests. */
export async function abortEntryStart(parts: EntryParts): Promise<void> {
  await parts.onceCalls.stop();
  await stopParts(parts);
  await closeConnections(parts);
}

async function performStop(context: EntryContext, parts: EntryParts): Promise<void> {
  const { logger, settings } = context;
  const { balancerMs, drainMs } = settings.stopping;
  logger.log('entryStopping');
  parts.isStopping = true;
  parts.membership.announceStopping();
  // Awaited only later: while the platform is unreachable, waiting here would extend the time in
  // which requests are accepted beyond `balancerMs`, and the process could be killed meanwhile.
  const handOver = parts.replicas.handOver();
  await sleep(balancerMs);
  parts.requests.beginStopping();
  const isDrained = parts.callers.drain(balancerMs);
  const isFinished = await finishesWithin(finishRequests(parts, isDrained), drainMs);
  if (!isFinished) {
    parts.requests.markGracePeriodOver();
    parts.callers.endAll();
    await finishesWithin(isDrained, LAST_ANSWERS_MS);
  }
  await parts.callers.close();
  await Promise.all([handOver, parts.onceCalls.stop()]);
  await parts.membership.whenDigestDelivered(DIGEST_DELIVERY_TIMEOUT_MS);
  await stopParts(parts);
  await closeConnections(parts);
  logger.log('entryStopped');
}

async function finishRequests({ requests }: EntryParts, isDrained: Promise<void>): Promise<void> {
  await Promise.all([isDrained, requests.whenIdle()]);
}

/** Whether `work` finished in time; a caller that never reads its answer must not block a stop. */
async function finishesWithin(work: Promise<void>, timeoutMs: Milliseconds): Promise<boolean> {
  const timeoutController = new AbortController();
  const timeout = sleep(timeoutMs, false, { signal: timeoutController.signal }).catch(() => false);
  const isDone = await Promise.race([work.then(() => true), timeout]);
  timeoutController.abort();
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
