/**
 * Selects an instance for a call to a plain service.
 */
import type { ServiceAnswer } from '../../adapters/services/index.js';
import type { Health } from '../../board/index.js';
import { listServiceInstances } from '../../controllers/health/index.js';
import {
  chooseInstance,
  findCooldownLeft,
  reportInstanceEnd,
  type InstanceCandidate,
} from '../../controllers/routing/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Service } from '../../objects/index.js';
import type { RequestParts } from './types.js';

const EMPTY_HEALTH: Health = new Map();

/** The instance to send a call to, or why there is none. */
export type InstanceChoice =
  | { kind: 'chosen'; instance: InstanceCandidate }
  /** All instances are cooling down; the first of them for `leftMs` more. */
  | { kind: 'coolingDown'; leftMs: Milliseconds }
  | { kind: 'none' };

/** Chooses the instance to send a call to. */
export function chooseServiceInstance(
  { context, dispatcher, attemptTracker }: RequestParts,
  service: Service,
  excluded: readonly string[],
): InstanceChoice {
  const { clock, random, identity } = context;
  const now = clock.now();
  const candidates = listCandidates(context, service, now);
  const location = { region: identity.region, failureDomain: identity.failureDomain };
  const instance = chooseInstance(
    dispatcher.state,
    candidates,
    attemptTracker.counts,
    location,
    excluded,
    now,
    random,
  );
  if (instance) return { kind: 'chosen', instance };
  const leftMs = findCooldownLeft(dispatcher.state, candidates, now);
  return leftMs === undefined ? { kind: 'none' } : { kind: 'coolingDown', leftMs };
}

function listCandidates(
  { board, settings }: RequestParts['context'],
  service: Service,
  now: Milliseconds,
): readonly InstanceCandidate[] {
  const view = { fleet: board.fleet.read(), health: board.health.read() };
  const { freshMs } = settings.health;
  const healthy = listServiceInstances(view, service, now, freshMs);
  // A call that fails on every instance must not make the service unavailable to all callers. When
  // no instance is healthy, health is ignored; the dispatcher still avoids consecutive failures.
  return healthy.length > 0
    ? healthy
    : listServiceInstances({ ...view, health: EMPTY_HEALTH }, service, now, freshMs);
}

/** Starts the cooldown that the answer of an instance names, if any. */
export function recordInstanceCooldown(
  { context, dispatcher }: RequestParts,
  instance: string,
  { retryAfterMs }: Pick<ServiceAnswer, 'retryAfterMs'>,
): void {
  if (retryAfterMs !== undefined)
    dispatcher.state.cooldowns.start(instance, retryAfterMs, context.clock.now());
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
