/**
 * The priority that a request is given at an engine.
 */

/** How far a request of a crowding workspace is put back: less than the default classes differ. */
const CROWDING_STEP = 2;

/**
 * The priority of a request's class, lowered for a workspace that crowds out others: what of it has
 * been sent lets the others' requests pass at the engine too. It stays above the next class by the
 * default policy.
 *
 * @example enginePriority(5, true) // 3
 */
export function enginePriority(classPriority: number, isCrowding: boolean): number {
  return isCrowding ? Math.max(0, classPriority - CROWDING_STEP) : classPriority;
}
