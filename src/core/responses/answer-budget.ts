/**
 * Bounds the memory of responses that are read whole before they are sent to their callers.
 */

/** The responses of all requests of a process. */
export interface AnswerBudget {
  /**
   * Reserves `bytes` for a request that holds `held` already. Returns false if its response is too long,
   * or if memory is short and it holds more than others.
   */
  take(bytes: number, held: number): boolean;
  release(bytes: number): void;
}

/** Far above any response that is not a stream. */
const MAX_ANSWER_BYTES = 8_388_608;
/** A small instance has some 100 MB beside its own code and state. */
const MAX_TOTAL_BYTES = 33_554_432;
/** A request that holds less is never refused. */
const GUARANTEED_BYTES = 262_144;

export function createAnswerBudget(): AnswerBudget {
  let total = 0;
  return {
    take: (bytes, held) => {
      const after = held + bytes;
      const isShort = total + bytes > MAX_TOTAL_BYTES && after > GUARANTEED_BYTES;
      if (after > MAX_ANSWER_BYTES || isShort) return false;
      total += bytes;
      return true;
    },
    release: (bytes) => {
      total -= bytes;
    },
  };
}
