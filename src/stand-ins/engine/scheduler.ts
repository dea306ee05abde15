/**
 * Continuous batching on a token clock, without timers: the caller says what time it is.
 *
 * The engine works in steps. A step starts with up to `batchSize` requests, chosen by priority and
 * then by arrival; it takes the decode time of one token, plus the prefill of the next part of
 * prompts that are not in the cache yet. When it ends, each request whose prompt is done gets one token.
 */
import type { Milliseconds } from '../../core/clock/index.js';

/** A request for the scheduler. */
export interface Job {
  id: string;
  priority: number;
  /** Prompt tokens that are not in the prefix cache. */
  prefillTokens: number;
  /** Tokens to emit; those that a resumed request skips are not counted. */
  outputTokens: number;
}

/** What a step brought for one job. `emitted` counts from 1; the last has `last`. */
export interface EmittedToken {
  id: string;
  emitted: number;
  last: boolean;
}

/** How fast the engine is. */
interface EngineSpeed {
  batchSize: number;
  prefillMsPerToken: Milliseconds;
  decodeMsPerToken: Milliseconds;
  /** All times are multiplied by it; 1 is normal. */
  slowFactor: number;
}

interface ActiveJob extends Job {
  arrival: number;
  emitted: number;
}

/** Held by one engine and changed by the functions below. */
interface Scheduler {
  speed: EngineSpeed;
  running: Map<string, ActiveJob>;
  /** Sorted: the first is next. */
  waiting: ActiveJob[];
  arrivals: number;
  /** When the step in progress ends; absent when there is nothing to do. */
  stepEndsAt: Milliseconds | undefined;
}

/** What the scheduler holds at one moment. */
export interface SchedulerFigures {
  running: number;
  waiting: number;
  pendingPromptTokens: number;
  pendingOutputTokens: number;
}

/** Prompt tokens worked on in one step, so that a long prompt does not hold up running answers. */
const PREFILL_TOKENS_PER_STEP = 512;
/** Growth of the decode time with each further running request. */
const BATCH_COST = 0.02;
/** A step that ended longer ago was missed because the process stood still; time starts anew. */
const MAX_CATCH_UP_MS = 250;

/** A scheduler without work. */
export function createScheduler(speed: EngineSpeed): Scheduler {
  return { speed, running: new Map(), waiting: [], arrivals: 0, stepEndsAt: undefined };
}

/** Takes a job; an engine at rest starts a step at once. */
export function submitJob(scheduler: Scheduler, job: Job, now: Milliseconds): void {
  const active = { ...job, arrival: scheduler.arrivals++, emitted: 0 };
  const index = scheduler.waiting.findIndex((other) => compareJobs(active, other) < 0);
  scheduler.waiting.splice(index === -1 ? scheduler.waiting.length : index, 0, active);
  if (scheduler.stepEndsAt === undefined) startStep(scheduler, now);
}

/** Drops a job, running or waiting. False when there is no such job. */
export function removeJob(scheduler: Scheduler, id: string): boolean {
  if (scheduler.running.delete(id)) return true;
  const index = scheduler.waiting.findIndex((job) => job.id === id);
  if (index === -1) return false;
  scheduler.waiting.splice(index, 1);
  return true;
}

/** Ends every step that is over at `now` and returns what they brought, in order. */
export function advanceScheduler(scheduler: Scheduler, now: Milliseconds): EmittedToken[] {
  const emitted: EmittedToken[] = [];
  while (scheduler.stepEndsAt !== undefined && scheduler.stepEndsAt <= now) {
    const endedAt = scheduler.stepEndsAt;
    endStep(scheduler, emitted);
    startStep(scheduler, now - endedAt > MAX_CATCH_UP_MS ? now : endedAt);
  }
  return emitted;
}

/** Counts what is running, waiting and still to be done. */
export function measureScheduler(scheduler: Scheduler): SchedulerFigures {
  const figures = {
    running: scheduler.running.size,
    waiting: scheduler.waiting.length,
    pendingPromptTokens: 0,
    pendingOutputTokens: 0,
  };
  for (const job of [...scheduler.running.values(), ...scheduler.waiting]) {
    figures.pendingPromptTokens += job.prefillTokens;
    figures.pendingOutputTokens += job.outputTokens - job.emitted;
  }
  return figures;
}

function compareJobs(left: ActiveJob, right: ActiveJob): number {
  return right.priority - left.priority || left.arrival - right.arrival;
}

function startStep(scheduler: Scheduler, now: Milliseconds): void {
  const { running, waiting, speed } = scheduler;
  while (running.size < speed.batchSize) {
    const next = waiting.shift();
    if (!next) break;
    running.set(next.id, next);
  }
  if (running.size === 0) {
    scheduler.stepEndsAt = undefined;
    return;
  }
  const prefillMs = prefillStep(running) * speed.prefillMsPerToken;
  const decodeMs = speed.decodeMsPerToken * (1 + BATCH_COST * (running.size - 1));
  scheduler.stepEndsAt = now + (prefillMs + decodeMs) * speed.slowFactor;
}

/** Works on the prompts of the running jobs and returns the prompt tokens done. */
function prefillStep(running: ReadonlyMap<string, ActiveJob>): number {
  let left = PREFILL_TOKENS_PER_STEP;
  for (const job of running.values()) {
    const done = Math.min(left, job.prefillTokens);
    job.prefillTokens -= done;
    left -= done;
  }
  return PREFILL_TOKENS_PER_STEP - left;
}

function endStep({ running }: Scheduler, emitted: EmittedToken[]): void {
  for (const job of running.values()) {
    if (job.prefillTokens > 0) continue;
    job.emitted += 1;
    const last = job.emitted >= job.outputTokens;
    if (last) running.delete(job.id);
    emitted.push({ id: job.id, emitted: job.emitted, last });
  }
}
