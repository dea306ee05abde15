/**
 * What a stop means for requests: which are still begun, how long they may last, and how those are
 * refused that are not.
 */
import {
  estimateStream,
  isRepeatable,
  latestBeginning,
  SlownessTable,
} from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { GatewayContext } from '../types.js';
import type { RequestHead } from './types.js';

/** The request path's view of a stop; while there is none, everything may begin. */
export interface Stopping {
  isUnderWay(): boolean;
  /** Whether the request, if it is begun at `now`, ends before the grace does. */
  mayBegin(request: RequestHead, now: Milliseconds): boolean;
  /** Every answer has ended by then; infinite without a stop. */
  lastAnswerAt(): Milliseconds;
  /** A request has ended that was sent; what it took tells what others will take. */
  recordEnd(request: RequestHead, tookMs: Milliseconds): void;
}

/** How the log names this end. `yuccasail explain` knows it. */
export const STOPPED = 'the gateway stopped';

/** The caller's next connection reaches another gateway; one way there and back is enough. */
const STOPPING_RETRY_MS: Milliseconds = 50;

export function createStopping({ board, clock }: GatewayContext): Stopping {
  const slowness = new SlownessTable();
  return {
    isUnderWay: () => board.stop.read() !== undefined,
    mayBegin: (request, now) => {
      const plan = board.stop.read();
      if (plan === undefined) return true;
      const { answerBy, route } = request;
      const expectedMs = estimate(request) * slowness.slownessOf(kindOf(request), now);
      return (
        now <= latestBeginning(plan, { answerBy, expectedMs, isRepeatable: isRepeatable(route) })
      );
    },
    lastAnswerAt: () => board.stop.read()?.lastAnswerAt ?? Infinity,
    recordEnd: (request, tookMs) => {
      slowness.record(kindOf(request), estimate(request), tookMs, clock.now());
    },
  };
}

/** Without a model to tell, the operator's aim is the estimate. */
function estimate({ service, model, caller, route }: RequestHead): Milliseconds {
  if (!service.engine || !model) return route.targetMs;
  const { promptTokens, maxOutputTokens } = caller;
  return estimateStream(route, service.engine, model, promptTokens, maxOutputTokens);
}

function kindOf({ service, model }: RequestHead): string {
  return `${service.name} ${model?.name ?? ''}`;
}

/** Tells a caller that its request did not run and that it should go on elsewhere. */
export function refuseStopped(): Failure<'stopping'> {
  return createFailure('stopping', undefined, STOPPING_RETRY_MS);
}
