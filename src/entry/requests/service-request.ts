/**
 * Builds requests and failures for calls to plain services.
 */
import type { ServiceCall } from '../../adapters/callers/index.js';
import type { ServiceRequest } from '../../adapters/services/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { Service } from '../../objects/index.js';

const NO_CAPACITY_RETRY_AFTER_MS = 1_000;

/** Builds the request for the backend server; `body` is either buffered or streamed. */
export function buildServiceRequest(
  call: ServiceCall,
  body: ServiceRequest['body'],
  service: Service,
  repeatable: boolean,
): ServiceRequest {
  return {
    method: call.method,
    path: `${call.path}${call.query}`,
    headers: buildRequestHeaders(call, body),
    body,
    repeatable,
    timeoutMs: service.timeoutMs,
  };
}

/** Combines the caller's headers with those that the entry adds. */
function buildRequestHeaders(
  call: ServiceCall,
  body: ServiceRequest['body'],
): ServiceRequest['headers'] {
  const isStream = body !== undefined && !(body instanceof Uint8Array);
  // undici sets the length of buffered bodies itself; a stream needs the declared length.
  const fields = call.headers.filter(
    ({ name }) => isStream || name.toLowerCase() !== 'content-length',
  );
  return [
    ...fields,
    { name: 'X-Request-Id', value: call.id },
    { name: 'X-Workspace', value: call.caller.workspace },
  ];
}

/** Failure for a service without an available instance. */
export function createNoCapacityFailure(
  service: string,
  retryAfterMs = NO_CAPACITY_RETRY_AFTER_MS,
): Failure {
  return createFailure('noCapacity', { name: service }, retryAfterMs);
}
