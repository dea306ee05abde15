/**
 * What calls to plain services have in common, whatever their handling.
 */
import type { ServiceCall } from '../../adapters/callers/index.js';
import type { ServiceRequest } from '../../adapters/services/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { Service } from '../../objects/index.js';

const NO_CAPACITY_RETRY_MS = 1_000;

/** The call as it goes to the backend server; `body` is the caller's, whole or as it comes. */
export function composeRequest(
  call: ServiceCall,
  body: ServiceRequest['body'],
  service: Service,
  repeatable: boolean,
): ServiceRequest {
  return {
    method: call.method,
    path: `${call.path}${call.query}`,
    headers: listSentHeaders(call, body),
    body,
    repeatable,
    timeoutMs: service.timeoutMs,
  };
}

/** The caller's fields and this entry's own. */
function listSentHeaders(
  call: ServiceCall,
  body: ServiceRequest['body'],
): ServiceRequest['headers'] {
  const isStream = body !== undefined && !(body instanceof Uint8Array);
  // undici counts the bytes that it holds; a declared length is kept for a stream alone.
  const fields = call.headers.filter(
    ({ name }) => isStream || name.toLowerCase() !== 'content-length',
  );
  return [
    ...fields,
    { name: 'X-Request-Id', value: call.id },
    { name: 'X-Workspace', value: call.caller.workspace },
  ];
}

/** No instance of the service may be sent calls. */
export function createNoCapacity(service: string): Failure {
  return createFailure('noCapacity', { name: service }, NO_CAPACITY_RETRY_MS);
}
