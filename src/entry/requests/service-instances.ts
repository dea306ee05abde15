/**
 * The choice of an instance of a plain service, with what this entry knows.
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

const NO_HEALTH: Health = new Map();

/** The instance to send a call to now, if there is any. */
export function chooseServiceInstance(
  { context, dispatcher, inFlight }: RequestParts,
  service: Service,
  excluded: readonly string[],
): InstanceCandidate | undefined {
  const { board, clock, random, identity, settings } = context;
  const now = clock.now();
  const view = { fleet: board.fleet.read(), health: board.health.read() };
  const { freshMs } = settings.health;
  const sound = listServiceInstances(view, service, now, freshMs);
  // One call that every instance fails would otherwise take the service from everybody. When all
  // have failed lately, the dispatcher's own record of failures in a row says whom to avoid.
  const candidates =
    sound.length > 0
      ? sound
      : listServiceInstances({ ...view, health: NO_HEALTH }, service, now, freshMs);
  const here = { region: identity.region, failureDomain: identity.failureDomain };
  return chooseInstance(dispatcher.state, candidates, inFlight.counts, here, excluded, now, random);
}

/** Tells the parts that choose instances how a call at `instance` ended. */
export function reportInstance(
  { context, dispatcher, health }: RequestParts,
  instance: string,
  outcome: 'served' | 'failed',
): void {
  reportInstanceEnd(dispatcher.state, instance, outcome, context.clock.now());
  if (outcome === 'served') health.reportAnswer(instance);
  else health.reportFailure(instance);
}
