/**
 * Releases stray instances: those that report a replica although the plan assigns them none.
 *
 * Strays would stay healthy but unused. They occur when an engine that does not check fencing tokens
 * obeys a late order after confirming its release, or when an instance moves in from another fabric
 * domain. Each is released under a fencing token above all that it has seen.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { nextFence, type PlanDraft } from './plan-draft.js';
import { measureAbsence } from './member-status.js';
import type { DomainInput } from './types.js';

/** Adds a released replica for each stray instance. */
export function releaseStrays(input: DomainInput, draft: PlanDraft, now: Milliseconds): void {
  const held = new Set(
    draft.replicas.flatMap(({ members }) => members.map(({ instance }) => instance)),
  );
  for (const [name, member] of input.members) {
    const report = member.health?.report;
    if (held.has(name) || report?.replica === undefined) continue;
    if (measureAbsence(input, member, now) > 0) continue;
    const fence = nextFence(draft);
    const { model, weights } = report.replica;
    const members = [{ instance: name, incarnation: report.incarnation }];
    const id = `${input.domain}-${fence}`;
    draft.replicas.push({ id, model, weights, fence, phase: 'released', members });
    draft.reasons.push({ kind: 'strayFound', replica: report.replica.id, member: name });
  }
}
