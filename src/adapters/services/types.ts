/**
 * Plain services as the entries use them.
 */
import type { Readable } from 'node:stream';
import type { HeaderField } from '../../controllers/calls/types.js';
import type { Milliseconds } from '../../core/clock/index.js';

/** One call as it is sent on. */
export interface ServiceRequest {
  method: string;
  /** With the query. */
  path: string;
  headers: readonly HeaderField[];
  /** Bytes may be sent again; a stream only while nothing has been read from it. */
  body: Uint8Array | Readable | undefined;
  /** Whether it may be sent again after an unknown outcome; others get a connection of their own. */
  repeatable: boolean;
  /** Longest silence of the backend server, before and during its answer. */
  timeoutMs: Milliseconds;
}

/** The answer of a plain service while it arrives. */
export interface ServiceAnswer {
  status: number;
  /** The cooldown that an instance named with a refusal, if any. */
  retryAfterMs?: Milliseconds;
  /** Without hop-by-hop fields. */
  headers: readonly HeaderField[];
  /** Fails when the answer breaks off; must be read or destroyed. */
  body: Readable;
}

/** How the sending of a call began. */
export type ServiceStart =
  | { kind: 'started'; answer: ServiceAnswer }
  /** Not one byte can have reached the backend server: the call was never put on a connection. */
  | { kind: 'notSent'; reason: string }
  /** Sent, at least in part, and no usable answer came. */
  | { kind: 'lost'; reason: string };

/** What can be asked of one service instance, at its `host:port` address. */
export interface Services {
  /** Never sends a call twice. Aborting `signal` closes the connection that the call is on. */
  call(address: string, request: ServiceRequest, signal: AbortSignal): Promise<ServiceStart>;
  /** Closes all connections. */
  close(): Promise<void>;
}
