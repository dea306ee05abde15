/**
 * Creates the request path of an entry from its components.
 */
import { err } from 'neverthrow';
import type { RequestHead, RequestPath } from '../../adapters/callers/index.js';
import { listModels, resolveCaller } from '../../controllers/attempts/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { EntryContext } from '../types.js';
import { getFailure, runCompletion } from './completions.js';
import { createDispatcher } from './dispatcher.js';
import { createAdmissionGate, createRetryGate } from './gates.js';
import { createAttemptTracker } from './attempt-tracker.js';
import { createReplicaLossMonitor } from './replica-loss-monitor.js';
import { createOpenRequests } from './open-requests.js';
import { createPauseDetector } from './pause-detector.js';
import { logRequestCutByStop, logFailedRequest } from './request-log.js';
import { runServiceCall } from './service-calls.js';
import type { RequestDependencies, RequestParts, Requests } from './types.js';

const RETRY_AFTER_MS = 1_000;

/** Creates the request path. Start it before the callers' listener and stop it after. */
export function createRequests(context: EntryContext, dependencies: RequestDependencies): Requests {
  const { metrics, eligible } = dependencies;
  const openRequests = createOpenRequests((count) => {
    metrics.setInFlight(count);
  });
  const dispatcher = createDispatcher(context, eligible);
  const attemptTracker = createAttemptTracker(context);
  const lossMonitor = createReplicaLossMonitor(context);
  const pauseDetector = createPauseDetector(
    context,
    dependencies.refresh ?? (() => Promise.resolve()),
  );
  const parts: RequestParts = {
    ...dependencies,
    context,
    dispatcher,
    attemptTracker,
    lossMonitor,
    pauseDetector,
    openRequests,
    admission: createAdmissionGate(context),
    retries: createRetryGate(context),
  };
  let stopping = false;
  let isGracePeriodOver = false;

  return {
    path: createPath(
      parts,
      () => stopping,
      () => isGracePeriodOver,
    ),
    beginStopping: () => {
      stopping = true;
    },
    isStopping: () => stopping,
    markGracePeriodOver: () => {
      isGracePeriodOver = true;
      context.logger.log('stopGraceOver', { requests: openRequests.count() });
    },
    whenIdle: () => openRequests.whenIdle(),
    start: () => {
      dispatcher.start();
      attemptTracker.start();
      lossMonitor.start();
      pauseDetector.start();
    },
    stop: async () => {
      await pauseDetector.stop();
      await lossMonitor.stop();
      await dispatcher.stop();
      await attemptTracker.stop();
    },
  };
}

function createPath(
  parts: RequestParts,
  isStopping: () => boolean,
  isGracePeriodOver: () => boolean,
): RequestPath {
  const { context, openRequests, metrics, hasBeenReady } = parts;
  const { configuration } = context.board;

  async function track<Value>(
    head: RequestHead,
    run: () => Promise<Value>,
    getFailure: (value: Value) => Failure | undefined,
  ): Promise<Value> {
    openRequests.begin();
    try {
      const value = await run();
      const failure = getFailure(value);
      if (failure) metrics.countError(failure.kind);
      // When the entry closes the connection, the request fails as if the caller had disconnected.
      // The separate event tells operators that the shutdown aborted it.
      if (isGracePeriodOver() && head.signal.aborted) logRequestCutByStop(context.logger, head);
      else if (failure) logFailedRequest(context.logger, head, failure);
      return value;
    } finally {
      openRequests.end();
    }
  }

  return {
    identify: (credentials) => {
      if (isStopping()) return err(createFailure('stopping', undefined, RETRY_AFTER_MS));
      // The first configuration read may be stale and still accept a key that was replaced.
      // An entry that loses contact with the platform after it was ready keeps serving.
      if (!hasBeenReady()) {
        const reason = 'it is not sure yet of the configuration in force';
        return err(createFailure('notReady', { reason }, RETRY_AFTER_MS));
      }
      return resolveCaller(configuration.read(), credentials, context.clock.now());
    },
    listModels: (caller) => listModels(configuration.read(), caller.workspace),
    complete: (request, output) =>
      track(request, () => runCompletion(parts, request, output), getFailure),
    callService: (call, output) =>
      track(
        call,
        () => runServiceCall(parts, call, output),
        (failure) => failure,
      ),
  };
}
