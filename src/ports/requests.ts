/**
 * Requests of callers and answers of backend servers, beyond method, path and body.
 */
import type { Milliseconds } from '../core/clock/index.js';

/** Header names and values by turns, as they came. */
export type RawHeaders = readonly string[];

/** What a request says of itself in its headers. */
export interface CallerRequest {
  /** Names this attempt of the caller; absent when the caller gave none. */
  id?: string;
  /** How long the caller waits. */
  deadlineMs?: Milliseconds;
  /** The key that the caller proves its workspace with. */
  key?: string;
  model?: string;
  promptTokens: number;
  /** Output tokens that the caller allows at most. */
  maxOutputTokens: number;
  /** The stream goes on after this event. */
  lastEventId?: string;
}

/** What is added to a request on its way to a backend server. */
export interface SentRequest {
  /** The backend server that must answer; another one at its address refuses. */
  server: string;
  deadlineMs: Milliseconds;
  workspace?: string;
  /** 0 goes first, 9 last. */
  priority: number;
  lastEventId?: string;
}

/** What an answer's head says beside its status. */
export interface AnswerHead {
  requestId?: string;
  /** The answer carries the backend server's signature. */
  signed: boolean;
  /** The backend server says that it has not run the request and never will. */
  notRun: boolean;
  /** The body is encoded, although no caller asks for that. */
  encoded: boolean;
  eventStream: boolean;
}

/** How headers of requests and answers are written. */
export interface RequestDialect {
  decodeRequest(headers: RawHeaders): CallerRequest;
  /** The headers for a backend server: those of the caller that concern it, and ours. */
  encodeRequest(headers: RawHeaders, sent: SentRequest): string[];
  decodeAnswer(status: number, headers: RawHeaders): AnswerHead;
  /** The headers of an answer that go on to the caller. */
  relayAnswer(headers: RawHeaders): string[];
}
