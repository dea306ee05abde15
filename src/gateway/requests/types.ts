/**
 * Types of a caller's request inside the gateway.
 */
import type { IncomingMessage } from 'node:http';
import type { KeyHolder } from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { CallerRequest, GroupModel, Route, ServingService } from '../../ports/index.js';

/** A request that passed admission and can be forwarded. */
export interface AdmittedRequest {
  /** The caller's id of this attempt, or a placeholder for the logs. */
  id: string;
  caller: CallerRequest;
  incoming: IncomingMessage;
  body: Buffer | undefined;
  /** Hash that all attempts of the same request share. */
  fingerprint: string;
  /** The same, and those of the parts of its prompt. */
  fingerprints: readonly string[];
  route: Route;
  service: ServingService;
  /** Present when engines serve the request as replicas of a model. */
  model?: GroupModel;
  keyHolder?: KeyHolder;
  /** Whose share of scarce room it takes, empty for anonymous callers; absent without workspaces. */
  workspace?: string;
  arrivedAt: Milliseconds;
  /** The earlier of the caller's deadline and the route's timeout. */
  deadline: Milliseconds;
}

/** A request whose body has not been read yet. */
export type RequestHead = Omit<AdmittedRequest, 'body' | 'fingerprint' | 'fingerprints'>;

/** How a request ended, for logs and metrics. */
export type RequestOutcome =
  | 'answered'
  /** A failure response of the backend server was relayed. */
  | 'failedThere'
  | 'refused'
  | 'failed'
  /** The response was aborted after its first bytes had been sent. */
  | 'cut'
  | 'callerGone';

/** How far a request is that has no complete response yet. */
export type RequestPhase =
  /** Its body is still being received. */
  | 'receiving'
  /** It waits for a target. */
  | 'waiting'
  /** A backend server has it, over a link of this gateway or through another one. */
  | 'sent'
  | 'relayed'
  /** The caller has received the beginning of the response. */
  | 'answering';
