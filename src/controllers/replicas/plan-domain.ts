/**
 * Computes the next plan of one fabric domain from its current state.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { advanceReplicas } from './advance-replicas.js';
import { formReplicas, retireSurplus } from './form-replicas.js';
import { buildPlan, createPlanDraft } from './plan-draft.js';
import { repairReplicas } from './repair-replicas.js';
import { measureAbsence } from './member-status.js';
import { releaseStrays } from './stray-instances.js';
import type { DomainInput, PlanDecision } from './types.js';

/**
 * Plans a domain: advances phases, handles losses, retires surplus and forms missing replicas.
 *
 * If no instance of the domain is reachable, the plan stays as it is: the domain may be down or this
 * entry may be partitioned from it, and orders could not arrive in either case.
 *
 * @example const { plan, changed } = planDomain(input, clock.now());
 */
export function planDomain(input: DomainInput, now: Milliseconds): PlanDecision {
  const previous = input.plan;
  if (isUnreachable(input, now))
    return { plan: previous, changed: false, reasons: [{ kind: 'unreachable' }] };
  const draft = createPlanDraft(input);
  advanceReplicas(input, draft, now);
  releaseStrays(input, draft, now);
  repairReplicas(input, draft, now);
  retireSurplus(input, draft, now);
  formReplicas(input, draft, now);
  const plan = buildPlan(draft, previous);
  return { plan, changed: plan !== previous, reasons: draft.reasons };
}

function isUnreachable(input: DomainInput, now: Milliseconds): boolean {
  for (const member of input.members.values()) {
    if (measureAbsence(input, member, now) === 0) return false;
  }
  return true;
}
