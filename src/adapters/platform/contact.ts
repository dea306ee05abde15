/**
 * What the calls of one process learn of the platform together: whether it was away and is back.
 *
 * Guards against a call that merely waits being taken for contact. A watch that was sent before the
 * platform fell silent, or before its connection did, gets no answer; by itself it is doubted only
 * at the end of its wait, seconds after other calls are answered again, and news waits for it.
 */

/** Answers that say that the platform is there and takes no calls. */
const STATUS_UNAVAILABLE = 503;

/** How the calls fare. */
export interface Contact {
  noteAnswer(status: number): void;
  noteLoss(): void;
  /** Calls `listener` at each first answer after a loss. Returns the end of the subscription. */
  onReturn(listener: () => void): () => void;
}

/** Nothing has been lost yet. */
export function createContact(): Contact {
  const listeners = new Set<() => void>();
  let isAway = false;
  return {
    noteLoss: () => {
      isAway = true;
    },
    noteAnswer: (status) => {
      if (status === STATUS_UNAVAILABLE) {
        isAway = true;
        return;
      }
      if (!isAway) return;
      isAway = false;
      for (const listener of [...listeners]) listener();
    },
    onReturn: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
