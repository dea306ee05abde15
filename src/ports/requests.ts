/**
 * Header fields of callers' requests and backend servers' responses, and their codec interface.
 */
import type { Milliseconds } from '../core/clock/index.js';
import type { ServerNotice } from './server-notices.js';

/** Alternating header names and values, as received. */
export type RawHeaders = readonly string[];

/** Fields decoded from the headers of a caller's request. */
export interface CallerRequest {
  /** Identifies the caller's attempt, if the caller sent an id. */
  id?: string;
  /** How long the caller waits for the response. */
  deadlineMs?: Milliseconds;
  /** API key that authenticates the caller's workspace. */
  key?: string;
  model?: string;
  promptTokens: number;
  /** Maximum number of output tokens that the caller allows. */
  maxOutputTokens: number;
  /** Parts of the prompt that other requests may have too, in order; absent if there are none. */
  sharedParts?: readonly string[];
  /** The stream is resumed after this event. */
  lastEventId?: string;
}

/** Values that the gateway adds as headers to a request to a backend server. */
export interface ForwardingContext {
  /** Id of the intended backend server; any other server at its address refuses the request. */
  server: string;
  deadlineMs: Milliseconds;
  workspace?: string;
  /** From 0, the highest priority, to 9, the lowest. */
  priority: number;
  lastEventId?: string;
}

/** What a response says of the requests per second that its server takes from all gateways together. */
export type RateLimit =
  | { kind: 'none' }
  | { kind: 'named'; perSecond: number }
  /** A limit that can't be read, which says neither that there is one nor that there is none. */
  | { kind: 'unreadable' };

/** Fields decoded from the status and headers of a response. */
export interface ResponseHead {
  requestId?: string;
  /** Whether the response has a signature header of the backend server. */
  signed: boolean;
  /** The backend server states that it has not executed the request and never will. */
  notRun: boolean;
  /** Whether the body has a content encoding. */
  encoded: boolean;
  eventStream: boolean;
  rateLimit: RateLimit;
  notice: ServerNotice;
}

/** Decodes, encodes and filters the headers of requests and responses. */
export interface RequestCodec {
  decodeRequest(headers: RawHeaders): CallerRequest;
  /** Returns the headers to send: the caller's end-to-end headers and those for `sent`. */
  encodeRequest(headers: RawHeaders, sent: ForwardingContext): string[];
  decodeResponse(status: number, headers: RawHeaders): ResponseHead;
  /** Returns the response headers that are forwarded to the caller. */
  filterResponseHeaders(headers: RawHeaders): string[];
}
