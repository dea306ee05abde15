/**
 * Admission: resolves a request's route, workspace, service and model, or rejects it.
 */
import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import {
  pickService,
  type KeyHolder,
  type ServingIndex,
} from '../../controllers/forwarding/index.js';
import { isProven } from '../../controllers/freshness/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { CallerRequest } from '../../ports/index.js';
import type { GatewayContext } from '../types.js';
import type { RequestHead } from './types.js';

/** Anonymous callers share the room of one workspace. */
const ANONYMOUS = '';

/** A new gateway loads its configuration within this time if the store is reachable. */
const NO_CONFIGURATION_RETRY_MS: Milliseconds = 500;

/** Callers may return once the configuration has been confirmed, which takes one call. */
const UNPROVEN_RETRY_MS: Milliseconds = 500;

/** Refusals that follow from the configuration and that callers take for final. */
const FINAL_REFUSALS: ReadonlySet<Failure['kind']> = new Set([
  'routeUnknown',
  'workspaceUnknown',
  'modelUnknown',
  'tooManyTokens',
]);

/**
 * Checks a request against the active configuration.
 *
 * Fails with the retryable `notReady` before the first configuration is loaded, and in place of a final
 * refusal by one that may be outdated, because the request may well be allowed.
 */
export function admitRequest(
  context: GatewayContext,
  incoming: IncomingMessage,
  arrivedAt: Milliseconds,
): Result<RequestHead, Failure> {
  return checkRequest(context, incoming, arrivedAt).mapErr((failure) => {
    if (!FINAL_REFUSALS.has(failure.kind) || isConfigurationProven(context, arrivedAt))
      return failure;
    const reason = 'its configuration may be outdated';
    return createFailure('notReady', { reason }, UNPROVEN_RETRY_MS);
  });
}

function isConfigurationProven({ board, settings }: GatewayContext, now: Milliseconds): boolean {
  const state = {
    active: board.serving.read()?.configuration.version ?? 0,
    newest: board.newestVersion.read(),
    proof: board.configurationProof.read(),
  };
  return isProven(state, settings.configuration.applyMs, now);
}

function checkRequest(
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
  const keyHolder = findKeyHolder(index, caller);
  if (
    index.keyHolders &&
    keyHolder === undefined &&
    !(route.anonymous && caller.key === undefined)
  ) {
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
  const tokens = caller.promptTokens + caller.maxOutputTokens;
  const limit = service.engine?.memoryTokens ?? Infinity;
  // An engine whose requests exceed its memory crashes, so no replica could ever run it.
  if (tokens > limit) return err(createFailure('tooManyTokens', { tokens, limit }));
  const timeoutMs = Math.min(route.timeoutMs, caller.deadlineMs ?? Infinity);
  return ok({
    id: caller.id ?? '(none)',
    caller,
    incoming,
    route,
    service,
    ...(model && { model }),
    ...(keyHolder && { keyHolder }),
    ...(index.keyHolders && { workspace: keyHolder?.workspace ?? ANONYMOUS }),
    arrivedAt,
    deadline: arrivedAt + timeoutMs,
  });
}

function findKeyHolder(index: ServingIndex, caller: CallerRequest): KeyHolder | undefined {
  return caller.key === undefined ? undefined : index.keyHolders?.get(caller.key);
}
