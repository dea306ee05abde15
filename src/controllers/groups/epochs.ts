/**
 * Bounds of the epochs that plans are based on. Epochs count up from 1, so that one far beyond was not
 * assigned by a planner.
 */

/** Leaves room for later epochs among the numbers that are exact. */
export const MAX_EPOCH = 2 ** 52;
/** Far above the number of plans that a restored store can lack. */
const MAX_LOST_EPOCHS = 2 ** 32;

/** Whether an engine may have got `epoch` from a planner, given the last one of the stored plan. */
export function isCredibleEpoch(epoch: number, lastEpoch: number): boolean {
  return epoch - lastEpoch <= MAX_LOST_EPOCHS;
}
