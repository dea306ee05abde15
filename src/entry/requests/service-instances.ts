/**
 * Selects an instance for a call to a plain service.
 */
import type { Health } from '../../board/index.js';
import { listServiceInstances } from '../../controllers/health/index.js';
import {
  chooseInstance,
  reportInstanceEnd,
  type InstanceCandidate,
} from '../../controllers/routing/index.js';
import type { Service } from '../../objects/index.js';
import type { RequestParts } from './types.js';

const EMPTY_HEALTH: Health = new Map();

/** Returns the instance to send a call to, if one is available. */
export function chooseServiceInstance(
  { context, dispatcher, attemptTracker }: RequestParts,
  service: Service,
  excluded: readonly string[],
): InstanceCandidate | undefined {
  const { board, clock, random, identity, settings } = context;
  const now = clock.now();
  const view = { fleet: board.fleet.read(), health: board.health.read() };
  const { freshMs } = settings.health;
  const healthy = listServiceInstances(view, service, now, freshMs);
  // A call that fails on every instance must not make the service unavailable to all callers. When
  // no instance is healthy, health is ignored; the dispatcher still avoids consecutive failures.
  const candidates =
    healthy.length > 0
      ? healthy
      : listServiceInstances({ ...view, health: EMPTY_HEALTH }, service, now, freshMs);
  const location = { region: identity.region, failureDomain: identity.failureDomain };
  return chooseInstance(
    dispatcher.state,
    candidates,
    attemptTracker.counts,
    location,
    excluded,
    now,
    random,
  );
}

/** Reports the outcome of a call at `instance` to the dispatcher and the health part. */
export function reportInstanceOutcome(
  { context, dispatcher, health }: RequestParts,
  instance: string,
  outcome: 'served' | 'failed',
): void {
  reportInstanceEnd(dispatcher.state, instance, outcome, context.clock.now());
  if (outcome === 'served') health.reportAnswer(instance);
  else health.reportFailure(instance);
}
