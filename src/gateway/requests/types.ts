/**
 * A request of a caller on its way through the gateway.
 */
import type { IncomingMessage } from 'node:http';
import type { KeyHolder } from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { CallerRequest, GroupModel, Route, ServingService } from '../../ports/index.js';

/** A request that may be sent on. */
export interface AdmittedRequest {
  /** The caller's id of this attempt, or one of ours for the logs. */
  id: string;
  caller: CallerRequest;
  incoming: IncomingMessage;
  body: Buffer | undefined;
  /** The same for each attempt of the same request. */
  fingerprint: string;
  route: Route;
  service: ServingService;
  /** Present when the service's engines form replicas of it. */
  model?: GroupModel;
  holder?: KeyHolder;
  arrivedAt: Milliseconds;
  /** The final answer is due: the caller's deadline or the route's timeout. */
  answerBy: Milliseconds;
}

/** A request whose body is yet to be read. */
export type RequestHead = Omit<AdmittedRequest, 'body' | 'fingerprint'>;

/** How a request ended, for logs and metrics. */
export type RequestOutcome =
  | 'answered'
  /** The backend server's own failure was passed on. */
  | 'failedThere'
  | 'refused'
  | 'failed'
  /** Its stream had begun and was broken off. */
  | 'cut'
  | 'callerGone';
