/**
 * Bounds interim responses (1xx), of which a server may send any number before its answer.
 *
 * undici drops them and starts the wait for the answer again with each, so that a server that sends nothing
 * else would hold a request, and keep the process busy, until somebody gives the request up.
 */
import type { Dispatcher } from 'undici';

/** Servers send one or two, such as 100 and 103, if any. */
const MAX_INTERIM_RESPONSES = 16;

/** Fails requests whose answer does not come after a few interim responses. */
export const limitInterimResponses: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (options, handler) =>
    dispatch(options, new InterimLimit(handler));

class InterimLimit implements Dispatcher.DispatchHandler {
  private interim = 0;

  constructor(private readonly handler: Dispatcher.DispatchHandler) {}

  onRequestStart(...values: Parameters<Required<Dispatcher.DispatchHandler>['onRequestStart']>) {
    this.handler.onRequestStart?.(...values);
  }

  onResponseStart(...values: Parameters<Required<Dispatcher.DispatchHandler>['onResponseStart']>) {
    const [controller, status] = values;
    if (status >= 200) {
      this.handler.onResponseStart?.(...values);
      return;
    }
    this.interim += 1;
    if (this.interim > MAX_INTERIM_RESPONSES)
      controller.abort(new Error('only interim responses came'));
  }

  onResponseData(...values: Parameters<Required<Dispatcher.DispatchHandler>['onResponseData']>) {
    this.handler.onResponseData?.(...values);
  }

  onResponseEnd(...values: Parameters<Required<Dispatcher.DispatchHandler>['onResponseEnd']>) {
    this.handler.onResponseEnd?.(...values);
  }

  onResponseError(...values: Parameters<Required<Dispatcher.DispatchHandler>['onResponseError']>) {
    this.handler.onResponseError?.(...values);
  }
}
