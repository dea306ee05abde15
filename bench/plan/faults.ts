/**
 * A seeded schedule of what happens to the engines of one domain.
 */
import type { Milliseconds } from '../../src/core/clock/index.js';
import { createRandom, type Random } from '../../src/core/random/index.js';

/** Something that happens to one engine. */
export interface FaultEvent {
  at: Milliseconds;
  kind: 'kill' | 'restart' | 'pause' | 'wake';
  engine: string;
}

/** How often each kind of loss befalls one engine, and how long it lasts. */
export interface LossKind {
  kind: 'failure' | 'restart' | 'pause';
  perDay: number;
  meanMs: Milliseconds;
}

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;
export const DAY_MS = 24 * HOUR_MS;

/** Of 1,700 instances, 19 fail and 480 are restarted a day; pauses are assumed. */
const LOSS_KINDS: readonly LossKind[] = [
  { kind: 'failure', perDay: 19 / 1_700, meanMs: 4 * HOUR_MS },
  { kind: 'restart', perDay: 480 / 1_700, meanMs: 90 * SECOND_MS },
  { kind: 'pause', perDay: 0.1, meanMs: 8 * SECOND_MS },
];

const FLAP_EVERY_MS = 4 * MINUTE_MS;
const FLAP_DOWN_MS = 30 * SECOND_MS;
const FLAP_SPAN_MS = 6 * HOUR_MS;
const FLAPPING = 2;
const DARK_MS = 20 * MINUTE_MS;

/** All events of `days` days, in order: single losses, two flapping engines, and the whole domain dark once. */
export function scheduleFaults(
  engines: readonly string[],
  days: number,
  seed: number,
): FaultEvent[] {
  const random = createRandom(seed);
  const spanMs = days * DAY_MS;
  const events = engines.flatMap((engine) =>
    LOSS_KINDS.flatMap((loss) => scheduleLosses(engine, loss, spanMs, random)),
  );
  for (let count = 0; count < FLAPPING; count += 1) {
    const engine = engines[random.below(engines.length)] ?? '';
    events.push(...scheduleFlaps(engine, random.fraction() * (spanMs - FLAP_SPAN_MS)));
  }
  const darkAt = random.fraction() * (spanMs - DARK_MS);
  for (const engine of engines) events.push(...takeAway(engine, 'pause', darkAt, DARK_MS));
  return events.sort((a, b) => a.at - b.at);
}

function scheduleLosses(
  engine: string,
  loss: LossKind,
  spanMs: Milliseconds,
  random: Random,
): FaultEvent[] {
  const events: FaultEvent[] = [];
  let at = drawSpan(DAY_MS / loss.perDay, random);
  while (at < spanMs) {
    const lastsMs = drawSpan(loss.meanMs, random);
    events.push(...takeAway(engine, loss.kind === 'pause' ? 'pause' : 'kill', at, lastsMs));
    at += lastsMs + drawSpan(DAY_MS / loss.perDay, random);
  }
  return events;
}

function scheduleFlaps(engine: string, from: Milliseconds): FaultEvent[] {
  const events: FaultEvent[] = [];
  for (let at = from; at < from + FLAP_SPAN_MS; at += FLAP_EVERY_MS) {
    events.push(...takeAway(engine, 'kill', at, FLAP_DOWN_MS));
  }
  return events;
}

function takeAway(
  engine: string,
  kind: 'kill' | 'pause',
  at: Milliseconds,
  lastsMs: Milliseconds,
): FaultEvent[] {
  const back = kind === 'kill' ? 'restart' : 'wake';
  return [
    { at, kind, engine },
    { at: at + lastsMs, kind: back, engine },
  ];
}

function drawSpan(meanMs: Milliseconds, random: Random): Milliseconds {
  return -Math.log(1 - random.fraction()) * meanMs;
}
