/**
 * Finds the instances of the domain that are available for a new replica, now or soon.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { PlanDraft } from './plan-draft.js';
import { isFlapping } from './loss-history.js';
import { isAssignable, measureAbsence } from './member-status.js';
import type { DomainInput } from './types.js';

/** Names of instances. */
export interface FreeInstances {
  /** In no replica of the plan, released ones included, and reporting idle. */
  free: readonly string[];
  /** Healthy members of a draining or released replica. */
  pending: readonly string[];
}

/** Lists the free instances of the domain under the draft, except flapping ones. */
export function listFreeInstances(
  input: DomainInput,
  draft: PlanDraft,
  now: Milliseconds,
): FreeInstances {
  const assigned = new Set<string>();
  const pending: string[] = [];
  for (const { members, phase } of draft.replicas) {
    for (const { instance } of members) {
      assigned.add(instance);
      if (phase !== 'released' && phase !== 'draining') continue;
      if (isReusable(input, instance, now)) pending.push(instance);
    }
  }
  const free: string[] = [];
  for (const [name, member] of input.members) {
    if (assigned.has(name) || !isAssignable(input, member, now)) continue;
    if (!isFlapping(input.history, input.estimates, name, now)) free.push(name);
  }
  return { free, pending };
}

function isReusable(input: DomainInput, name: string, now: Milliseconds): boolean {
  const member = input.members.get(name);
  if (
    member === undefined ||
    member.leaving ||
    isFlapping(input.history, input.estimates, name, now)
  )
    return false;
  return measureAbsence(input, member, now) === 0;
}
