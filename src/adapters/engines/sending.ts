/**
 * Knowing whether a request was ever written to a connection.
 *
 * Error codes alone do not prove it: undici reports a refused connection and a connection that
 * broke under a request with the same kinds of error. But it tells the handler of a request when
 * it takes it from its queue to write it to a connected socket, before the first byte. A request
 * whose handler was never told has not left this process.
 */
import type { Dispatcher } from 'undici';

/** Passed as `opaque` with one request and marked when the request is about to be written. */
export interface Sending {
  begun: boolean;
  signal: AbortSignal;
}

/** Marks the {@link Sending} of each request. Requests without one pass unchanged. */
export const markSendings: Dispatcher.DispatcherComposeInterceptor = (dispatch) => {
  return (options, handler) => {
    const { opaque } = options as { opaque?: unknown };
    return dispatch(options, isSending(opaque) ? watchStart(handler, opaque) : handler);
  };
};

function isSending(opaque: unknown): opaque is Sending {
  return typeof opaque === 'object' && opaque !== null && 'begun' in opaque;
}

function watchStart(
  handler: Dispatcher.DispatchHandler,
  sending: Sending,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) => {
      // A request whose signal was aborted while it waited for a connection is dropped by undici
      // right here, before anything is written: it stays unsent.
      if (!sending.signal.aborted) sending.begun = true;
      handler.onRequestStart?.(controller, context);
    },
    onResponseStart: (...values) => handler.onResponseStart?.(...values),
    onResponseData: (...values) => handler.onResponseData?.(...values),
    onResponseEnd: (...values) => handler.onResponseEnd?.(...values),
    onResponseError: (...values) => handler.onResponseError?.(...values),
  };
}
