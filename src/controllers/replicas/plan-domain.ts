/**
 * One fabric domain's next plan, from what is known of it now.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { advanceReplicas } from './advance-replicas.js';
import { formReplicas, retireSurplus } from './form-replicas.js';
import { closeDraft, openDraft } from './plan-draft.js';
import { repairReplicas } from './repair-replicas.js';
import { measureAbsence } from './member-status.js';
import { releaseStrays } from './stray-instances.js';
import type { DomainInput, PlanDecision } from './types.js';

/**
 * Plans a domain: moves phases on, treats losses, gives surplus back and forms what is missing.
 *
 * When no instance of the domain is heard, nothing changes: the domain may be dark, or it may be
 * this entry that is cut off, and in neither case could an order arrive.
 *
 * @example const { plan, changed } = planDomain(input, clock.now());
 */
export function planDomain(input: DomainInput, now: Milliseconds): PlanDecision {
  const previous = input.plan;
  if (isDark(input, now)) return { plan: previous, changed: false, reasons: [{ kind: 'dark' }] };
  const draft = openDraft(input);
  advanceReplicas(input, draft, now);
  releaseStrays(input, draft, now);
  repairReplicas(input, draft, now);
  retireSurplus(input, draft, now);
  formReplicas(input, draft, now);
  const plan = closeDraft(draft, previous);
  return { plan, changed: plan !== previous, reasons: draft.reasons };
}

function isDark(input: DomainInput, now: Milliseconds): boolean {
  for (const member of input.members.values()) {
    if (measureAbsence(input, member, now) === 0) return false;
  }
  return true;
}
