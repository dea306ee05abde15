/**
 * Which instances of the domain may go into a new replica now, and which soon.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Draft } from './plan-draft.js';
import { isFlapping } from './loss-history.js';
import { isUsable, measureAbsence } from './member-status.js';
import type { DomainInput } from './types.js';

/** Names of instances. */
export interface FreeInstances {
  /** In no replica of the plan, released ones included, and idle by their own word. */
  free: readonly string[];
  /** Healthy, and members of a replica that is draining or released: free before long. */
  pending: readonly string[];
}

/** The free instances of the domain under the draft; those that flap are left out. */
export function listFree(input: DomainInput, draft: Draft, now: Milliseconds): FreeInstances {
  const held = new Set<string>();
  const pending: string[] = [];
  for (const { members, phase } of draft.replicas) {
    for (const { instance } of members) {
      held.add(instance);
      if (phase !== 'released' && phase !== 'draining') continue;
      if (isComing(input, instance, now)) pending.push(instance);
    }
  }
  const free: string[] = [];
  for (const [name, member] of input.members) {
    if (held.has(name) || !isUsable(input, member, now)) continue;
    if (!isFlapping(input.history, input.estimates, name, now)) free.push(name);
  }
  return { free, pending };
}

function isComing(input: DomainInput, name: string, now: Milliseconds): boolean {
  const member = input.members.get(name);
  if (
    member === undefined ||
    member.leaving ||
    isFlapping(input.history, input.estimates, name, now)
  )
    return false;
  return measureAbsence(input, member, now) === 0;
}
