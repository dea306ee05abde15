/**
 * Periodic work that shares the wake-ups of one timer.
 *
 * A wake-up of an idle process costs more than most of the work it does then: its caches are cold. Six
 * timers of 100 to 1,000 ms woke a gateway at rest 48 times a second.
 */
import type { Clock, Milliseconds } from '../clock/index.js';

/** Runs periodic work. */
export interface Ticker {
  /** Runs `work` about every `intervalMs`, which is not less than the time between two wake-ups. */
  every(intervalMs: Milliseconds, work: () => void): TickerTask;
}

export interface TickerTask {
  stop(): void;
}

/** A ticker that its owner drives. */
export interface DrivenTicker extends Ticker {
  /** Runs the work that is due. Called at each wake-up. */
  run(): void;
}

/** Work that is due this soon runs now; timers fire a few milliseconds apart from each other. */
const SLACK_MS: Milliseconds = 10;

interface Task {
  intervalMs: Milliseconds;
  dueAt: Milliseconds;
  work: () => void;
}

/**
 * Creates a ticker without work. An error in one piece of work is thrown outside of the others.
 *
 * @example const ticker = createTicker(clock); setInterval(() => ticker.run(), 100);
 */
export function createTicker(clock: Clock): DrivenTicker {
  const tasks = new Set<Task>();
  return {
    every: (intervalMs, work) => {
      const task: Task = { intervalMs, dueAt: clock.now() + intervalMs, work };
      tasks.add(task);
      return {
        stop: () => {
          tasks.delete(task);
        },
      };
    },
    run: () => {
      const now = clock.now();
      for (const task of tasks) {
        if (now < task.dueAt - SLACK_MS) continue;
        task.dueAt = now + task.intervalMs;
        try {
          task.work();
        } catch (error) {
          process.nextTick(() => {
            throw error;
          });
        }
      }
    },
  };
}
