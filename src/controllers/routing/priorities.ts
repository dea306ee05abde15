/**
 * Priorities of requests at an engine.
 */

/** Smaller than the distance between classes in the default policy. */
const NOISY_NEIGHBOR_PENALTY = 2;

/**
 * Returns the priority of a request at an engine. Noisy neighbors get a lower one than the rest of
 * their class, so that other workspaces overtake them in the queue of the engine as well. With the
 * default policy it stays above the priority of the next class.
 *
 * @example enginePriority(5, true) // 3
 */
export function enginePriority(classPriority: number, isNoisyNeighbor: boolean): number {
  return isNoisyNeighbor ? Math.max(0, classPriority - NOISY_NEIGHBOR_PENALTY) : classPriority;
}
