/**
 * Requires that an answer has a final status of HTTP, after a bounded number of interim responses (1xx).
 *
 * undici passes on any three digits as a status. It drops interim responses and starts the wait for the answer again
 * with each, so that a server that sends nothing else would hold a request, and keep the process busy, until
 * somebody gives the request up.
 */
import type { Dispatcher } from 'undici';
import { isFinalStatus, isInterimStatus } from '../responses/index.js';

/** Servers send one or two, such as 100 and 103, if any. */
const MAX_INTERIM_RESPONSES = 16;

/** Fails requests whose answer has a status that HTTP does not have, or comes after too many interim responses. */
export const requireFinalResponse: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (options, handler) =>
    dispatch(options, new FinalResponseHandler(handler));

class FinalResponseHandler implements Dispatcher.DispatchHandler {
  private interim = 0;

  constructor(private readonly handler: Dispatcher.DispatchHandler) {}

  onRequestStart(...values: Parameters<Required<Dispatcher.DispatchHandler>['onRequestStart']>) {
    this.handler.onRequestStart?.(...values);
  }

  onResponseStart(...values: Parameters<Required<Dispatcher.DispatchHandler>['onResponseStart']>) {
    const [controller, status] = values;
    if (isFinalStatus(status)) {
      this.handler.onResponseStart?.(...values);
      return;
    }
    if (!isInterimStatus(status)) {
      controller.abort(new Error(`the answer has the status ${status}`));
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
