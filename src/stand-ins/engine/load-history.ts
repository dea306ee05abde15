/**
 * The load as it was a while ago: what an engine that reports with a lag says of itself.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { SchedulerFigures } from './scheduler.js';

interface Sample {
  at: Milliseconds;
  figures: SchedulerFigures;
}

/** Figures of the past and their age. */
export interface LaggedFigures {
  figures: SchedulerFigures;
  ageMs: Milliseconds;
}

/** Past figures of one engine; each holds until the next. */
interface LoadHistory {
  record(figures: SchedulerFigures, now: Milliseconds): void;
  read(now: Milliseconds): LaggedFigures;
}

const NO_LOAD: SchedulerFigures = {
  running: 0,
  waiting: 0,
  pendingPromptTokens: 0,
  pendingOutputTokens: 0,
};

/** A history that shows what held `lagMs` ago; before its first record there was no load. */
export function createLoadHistory(lagMs: Milliseconds): LoadHistory {
  let held = NO_LOAD;
  let recent: Sample[] = [];
  const moveOn = (now: Milliseconds): void => {
    const past = recent.filter((sample) => sample.at <= now - lagMs);
    if (past.length === 0) return;
    held = past.at(-1)?.figures ?? held;
    recent = recent.slice(past.length);
  };
  return {
    record: (figures, now) => {
      moveOn(now);
      recent.push({ at: now, figures });
    },
    read: (now) => {
      moveOn(now);
      return { figures: held, ageMs: lagMs };
    },
  };
}
