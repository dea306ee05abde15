/**
 * Failures as callers see them: status, JSON body and Retry-After.
 */
import type { ServerResponse } from 'node:http';
import { ERRORS, type Failure } from '../../core/errors/index.js';

/** The JSON body of an error answer, also the data of an `error` event in a stream. */
export interface ErrorBody {
  error: {
    kind: string;
    title: string;
    message: string;
    hint: string;
    /** See {@link ERRORS}: notRun, unknown, failed or refused. */
    conclusion: string;
    request_id: string;
    retry_after_ms?: number;
  };
}

/** `failure` as the body of the answer to request `id`. */
export function renderFailure(failure: Failure, id: string): ErrorBody {
  const { title, hint, conclusion } = ERRORS[failure.kind];
  const { kind, message, retryAfterMs } = failure;
  const error = { kind, title, message, hint, conclusion, request_id: id };
  if (retryAfterMs === undefined) return { error };
  return { error: { ...error, retry_after_ms: Math.ceil(retryAfterMs) } };
}

/** Answers with `failure`. Nothing may have been written to `response` before. */
export function sendFailure(response: ServerResponse, failure: Failure, id: string): void {
  const body = JSON.stringify(renderFailure(failure, id));
  if (failure.retryAfterMs !== undefined) {
    // Whole seconds, rounded up: a caller that comes back early would be refused again.
    response.setHeader('Retry-After', String(Math.max(1, Math.ceil(failure.retryAfterMs / 1_000))));
  }
  if (failure.kind === 'workspaceUnknown') response.setHeader('WWW-Authenticate', 'Bearer');
  sendJson(response, ERRORS[failure.kind].status, body);
}

/** Answers with a JSON text, whole. */
export function sendJson(response: ServerResponse, status: number, body: string): void {
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
  });
  response.end(body);
}
