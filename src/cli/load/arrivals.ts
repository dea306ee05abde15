/**
 * When which request of a load run arrives. The times are fixed before the run and wait for no
 * answer: a slow system meets the same arrivals as a fast one, and its delay counts in full.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import type { LoadPlan, LoadStream } from './plan.js';

/** One request to come. */
export interface Arrival {
  /** After the start of the run. */
  at: Milliseconds;
  stream: LoadStream;
  /** Counts from 0 over all streams. */
  index: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * The arrivals of `plan`, a Poisson process, in order of time. They are made as they are taken, so
 * that a long run holds only the next one.
 *
 * @example for (const arrival of generateArrivals(plan, createRandom(plan.seed))) send(arrival);
 */
export function* generateArrivals(plan: LoadPlan, random: Random): Generator<Arrival> {
  const meanGapMs = MILLISECONDS_PER_SECOND / plan.rate;
  const endMs = plan.seconds * MILLISECONDS_PER_SECOND;
  let at = drawGap(meanGapMs, random);
  for (let index = 0; at < endMs; index += 1) {
    const stream = drawStream(plan.stream, random);
    if (stream !== undefined) yield { at, stream, index };
    at += drawGap(meanGapMs, random);
  }
}

function drawGap(meanGapMs: Milliseconds, random: Random): Milliseconds {
  return -meanGapMs * Math.log(1 - random.fraction());
}

function drawStream(streams: readonly LoadStream[], random: Random): LoadStream | undefined {
  const total = streams.reduce((sum, { share }) => sum + share, 0);
  let left = random.fraction() * total;
  const drawn = streams.find(({ share }) => {
    left -= share;
    return left < 0;
  });
  // Rounding can leave a remainder after the last one.
  return drawn ?? streams.at(-1);
}
