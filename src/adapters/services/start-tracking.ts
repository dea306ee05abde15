/**
 * Proof that a call was never put on a connection.
 *
 * undici reports a refused connection and a connection that broke after the call was written with
 * errors that overlap (a reset, an abort). Taking a written call for an unsent one would run it
 * twice or tell its caller "not run" of a call that ran. undici calls `onRequestStart` right before
 * it writes the first byte, so a call without that event has sent none.
 */
import { DecoratorHandler, type Dispatcher } from 'undici';

/** Passed as `opaque` with a call. */
export interface StartRecord {
  started: boolean;
}

/** Marks the {@link StartRecord} of each call when it is put on a connection. */
export const trackStarts: Dispatcher.DispatcherComposeInterceptor = (dispatch) => {
  return (options, handler) => {
    const { opaque } = options as { opaque?: StartRecord };
    const inner: Dispatcher.DispatchHandler = new DecoratorHandler(handler);
    const forward = inner.onRequestStart?.bind(inner);
    inner.onRequestStart = (controller, context) => {
      if (opaque) opaque.started = true;
      forward?.(controller, context);
    };
    return dispatch(options, inner);
  };
};
