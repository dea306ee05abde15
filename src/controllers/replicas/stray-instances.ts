/**
 * Instances that hold a replica of which the plan knows nothing.
 *
 * It shows as a healthy instance that is never used. The causes: an engine that ignores numbers
 * obeyed a late order after it had confirmed its release; or the instance came from another fabric
 * domain. It goes through a release of its own, with a number above all that it has seen.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { nextFence, type Draft } from './plan-draft.js';
import { measureAbsence } from './member-status.js';
import type { DomainInput } from './types.js';

/** Adds a released replica for each stray instance. */
export function releaseStrays(input: DomainInput, draft: Draft, now: Milliseconds): void {
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
