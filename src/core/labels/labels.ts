/**
 * Labels on instances, models and services, and the selectors that match them.
 */
import * as z from 'zod';

export const labelsSchema = z.record(z.string().min(1).max(63), z.string().max(63));

/** A requirement on a single label. */
export const requirementSchema = z.discriminatedUnion('operator', [
  z.object({ key: z.string(), operator: z.literal('in'), values: z.array(z.string()).min(1) }),
  z.object({ key: z.string(), operator: z.literal('notIn'), values: z.array(z.string()).min(1) }),
  z.object({ key: z.string(), operator: z.literal('exists') }),
  z.object({ key: z.string(), operator: z.literal('missing') }),
]);

/** Requirements that must all be met. An empty list matches everything. */
export const selectorSchema = z.array(requirementSchema).max(32);

export type Labels = z.infer<typeof labelsSchema>;
export type Requirement = z.infer<typeof requirementSchema>;
export type Selector = z.infer<typeof selectorSchema>;

/**
 * Returns whether `labels` meet every requirement of `selector`.
 *
 * @example matchesSelector([{ key: 'pool', operator: 'in', values: ['a'] }], { pool: 'a' }) // true
 */
export function matchesSelector(selector: Selector, labels: Labels): boolean {
  return selector.every((requirement) => matchesRequirement(requirement, labels));
}

function matchesRequirement(requirement: Requirement, labels: Labels): boolean {
  const value = Object.hasOwn(labels, requirement.key) ? labels[requirement.key] : undefined;
  switch (requirement.operator) {
    case 'in':
      return value !== undefined && requirement.values.includes(value);
    case 'notIn':
      return value === undefined || !requirement.values.includes(value);
    case 'exists':
      return value !== undefined;
    case 'missing':
      return value === undefined;
  }
}
