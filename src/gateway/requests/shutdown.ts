/**
 * Request handling during a graceful shutdown: which requests still start, how long they may run,
 * and how others are refused.
 */
import {
  estimateStreamMs,
  isRepeatable,
  latestStart,
  SlownessTable,
} from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { GatewayContext } from '../types.js';
import type { RequestHead } from './types.js';

/** Decides which requests start during a shutdown. Without a shutdown every request may start. */
export interface ShutdownPolicy {
  isShuttingDown(): boolean;
  /**
   * The latest time to start the request, so that it is expected to end within the grace period;
   * infinite without a shutdown.
   */
  latestStart(request: RequestHead): Milliseconds;
  /** When every response must have ended; infinite without a shutdown. */
  responseDeadline(): Milliseconds;
  /** Records how long a forwarded request took, to correct later estimates. */
  recordDuration(request: RequestHead, tookMs: Milliseconds): void;
}

/** Logged reason; `yuccasail explain` matches this text. */
export const SHUTDOWN_REASON = 'the gateway stopped';

/** One round trip: the caller's next connection reaches another gateway. */
const SHUTDOWN_RETRY_MS: Milliseconds = 50;

export function createShutdownPolicy({ board, clock }: GatewayContext): ShutdownPolicy {
  const slowness = new SlownessTable();
  return {
    isShuttingDown: () => board.stop.read() !== undefined,
    latestStart: (request) => {
      const plan = board.stop.read();
      if (plan === undefined) return Infinity;
      const { deadline, route } = request;
      const expectedMs =
        estimateDuration(request) * slowness.slownessOf(modelKeyOf(request), clock.now());
      return latestStart(plan, {
        answerBy: deadline,
        expectedMs,
        isRepeatable: isRepeatable(route),
      });
    },
    responseDeadline: () => board.stop.read()?.lastAnswerAt ?? Infinity,
    recordDuration: (request, tookMs) => {
      slowness.record(modelKeyOf(request), estimateDuration(request), tookMs, clock.now());
    },
  };
}

/** Estimates how long the request will run; the route's target time when no model is known. */
function estimateDuration({ service, model, caller, route }: RequestHead): Milliseconds {
  if (!service.engine || !model) return route.targetMs;
  const { promptTokens, maxOutputTokens } = caller;
  return estimateStreamMs(route, service.engine, model, promptTokens, maxOutputTokens);
}

function modelKeyOf({ service, model }: RequestHead): string {
  return `${service.name} ${model?.name ?? ''}`;
}

/** The failure for a request that was not run and can be retried at another gateway. */
export function createStoppingFailure(): Failure<'stopping'> {
  return createFailure('stopping', undefined, SHUTDOWN_RETRY_MS);
}
