/**
 * The request path of one entry, put together.
 */
import { err } from 'neverthrow';
import type { RequestHead, RequestPath } from '../../adapters/callers/index.js';
import { listModels, resolveCaller } from '../../controllers/attempts/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { EntryContext } from '../types.js';
import { findFailure, runCompletion } from './completions.js';
import { createDispatcher } from './dispatcher.js';
import { createAdmissionGate, createRetryGate } from './gates.js';
import { createInFlight } from './attempt-tracker.js';
import { createLossWatch } from './replica-loss-monitor.js';
import { createOpenRequests } from './open-requests.js';
import { createPauseWatch } from './pause-detector.js';
import { logCutRequest, logFailedRequest } from './request-log.js';
import { runServiceCall } from './service-calls.js';
import type { RequestDependencies, RequestParts, Requests } from './types.js';

const NOT_READY_RETRY_MS = 1_000;

/** The request path. Start it before the callers' listener, and stop it after that one. */
export function createRequests(context: EntryContext, dependencies: RequestDependencies): Requests {
  const { metrics, eligible } = dependencies;
  const open = createOpenRequests((count) => {
    metrics.setInFlight(count);
  });
  const dispatcher = createDispatcher(context, eligible);
  const inFlight = createInFlight(context);
  const losses = createLossWatch(context);
  const pauses = createPauseWatch(context, dependencies.refresh ?? (() => Promise.resolve()));
  const parts: RequestParts = {
    ...dependencies,
    context,
    dispatcher,
    inFlight,
    losses,
    pauses,
    open,
    admission: createAdmissionGate(context),
    retries: createRetryGate(context),
  };
  let stopping = false;
  let isCut = false;

  return {
    path: createPath(
      parts,
      () => stopping,
      () => isCut,
    ),
    beginStopping: () => {
      stopping = true;
    },
    isStopping: () => stopping,
    noteCut: () => {
      isCut = true;
      context.logger.log('stopGraceOver', { requests: open.count() });
    },
    whenIdle: () => open.whenNone(),
    start: () => {
      dispatcher.start();
      inFlight.start();
      losses.start();
      pauses.start();
    },
    stop: async () => {
      await pauses.stop();
      await losses.stop();
      await dispatcher.stop();
      await inFlight.stop();
    },
  };
}

function createPath(
  parts: RequestParts,
  isStopping: () => boolean,
  isCut: () => boolean,
): RequestPath {
  const { context, open, metrics, hasBeenReady } = parts;
  const { configuration } = context.board;

  async function track<Value>(
    head: RequestHead,
    run: () => Promise<Value>,
    find: (value: Value) => Failure | undefined,
  ): Promise<Value> {
    open.begin();
    try {
      const value = await run();
      const failure = find(value);
      if (failure) metrics.countError(failure.kind);
      // To the request its connection's end looks as if the caller had left; that is no one's fault
      // and hardly logged, so that nothing would tell operators what became of it.
      if (isCut() && head.signal.aborted) logCutRequest(context.logger, head);
      else if (failure) logFailedRequest(context.logger, head, failure);
      return value;
    } finally {
      open.end();
    }
  }

  return {
    identify: (credentials) => {
      if (isStopping()) return err(createFailure('stopping', undefined, NOT_READY_RETRY_MS));
      // What an entry reads first may be an old copy of the platform: a caller whose key was
      // replaced would be let in again. Once it has been ready it never goes back, so a caller that
      // still comes to an entry that has been cut off since then is answered.
      if (!hasBeenReady()) {
        const reason = 'it is not sure yet of the configuration in force';
        return err(createFailure('notReady', { reason }, NOT_READY_RETRY_MS));
      }
      return resolveCaller(configuration.read(), credentials, context.clock.now());
    },
    listModels: (caller) => listModels(configuration.read(), caller.workspace),
    complete: (request, output) =>
      track(request, () => runCompletion(parts, request, output), findFailure),
    callService: (call, output) =>
      track(
        call,
        () => runServiceCall(parts, call, output),
        (failure) => failure,
      ),
  };
}
