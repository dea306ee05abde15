/**
 * From the head of a request to what may be sent on, or why not.
 */
import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import {
  pickService,
  type KeyHolder,
  type ServingIndex,
} from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { CallerRequest } from '../../ports/index.js';
import type { GatewayContext } from '../types.js';
import type { RequestHead } from './types.js';

/** A gateway without a configuration gets one within this time, unless the store is away. */
const NO_CONFIGURATION_RETRY_MS: Milliseconds = 500;

/**
 * Checks a request against the configuration in force.
 *
 * Fails with `notReady` while no version is known: only then may a request be refused that the
 * configuration allows, and with a status that lets the caller come back.
 */
export function admitRequest(
  context: GatewayContext,
  incoming: IncomingMessage,
  arrivedAt: Milliseconds,
): Result<RequestHead, Failure> {
  const index = context.board.serving.read();
  if (index === undefined) {
    const reason = 'it has no configuration yet';
    return err(createFailure('notReady', { reason }, NO_CONFIGURATION_RETRY_MS));
  }
  const path = incoming.url ?? '/';
  const route = index.routes.match(incoming.headers.host ?? '', path);
  if (route === undefined) return err(createFailure('routeUnknown', { name: path }));
  const caller = context.platform.requests.decodeRequest(incoming.rawHeaders);
  const holder = findHolder(index, caller);
  if (index.keyHolders && holder === undefined && !(route.anonymous && caller.key === undefined)) {
    return err(createFailure('workspaceUnknown'));
  }
  const name = pickService(route, context.random);
  const service = name === undefined ? undefined : index.services.get(name);
  if (service === undefined) {
    return err(
      createFailure('noCapacity', { name: name ?? route.name }, NO_CONFIGURATION_RETRY_MS),
    );
  }
  const model = service.engine?.models.find((entry) => entry.name === caller.model);
  if (service.engine && model === undefined) {
    return err(createFailure('modelUnknown', { name: caller.model ?? '' }));
  }
  const waitMs = Math.min(route.timeoutMs, caller.deadlineMs ?? Infinity);
  return ok({
    id: caller.id ?? '(none)',
    caller,
    incoming,
    route,
    service,
    ...(model && { model }),
    ...(holder && { holder }),
    arrivedAt,
    answerBy: arrivedAt + waitMs,
  });
}

function findHolder(index: ServingIndex, caller: CallerRequest): KeyHolder | undefined {
  return caller.key === undefined ? undefined : index.keyHolders?.get(caller.key);
}
