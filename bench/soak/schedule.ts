/**
 * Which faults come when: drawn from a seed. Faults overlap, and some come in series.
 */
import type { StreamCrash } from '../../features/gateway/stand-ins/engine.js';
import { createRandom, type Random } from '../../src/core/random/index.js';

export type FaultKind =
  | (typeof KINDS)[number]
  | typeof RESTORE.kind
  | typeof LINK_CUT.kind
  | typeof FAVOUR.kind
  | typeof ENDLESS.kind;

/** A fault of one target; the target is a number, taken among those that are there by then. */
export interface ScheduledFault {
  atMs: number;
  kind: FaultKind;
  target: number;
  forMs: number;
}

/** Common ones stand more than once. */
const KINDS = [
  ...(['killGateway', 'stopGateway', 'stopGateway', 'pauseGateway', 'pauseGateway'] as const),
  ...(['cutStore', 'delayStore', 'resetStore', 'storeDown', 'storeSilent'] as const),
  ...(['storeLosesAnswers', 'storeForgets', 'changeKey', 'changeKey'] as const),
  ...(['crashEngine', 'crashEngine', 'drainEngine', 'stallEngine', 'cutEngine'] as const),
  ...(['delayEngine', 'resetEngine', 'loseAnswers', 'cutStreams', 'lateOrders'] as const),
] as const;

/** Faults drawn apart from the others, so that a seed without them stays the same. */
interface SeparateFault<Kind extends string> {
  kind: Kind;
  shortestGapMs: number;
  gapSpreadMs: number;
  spanSpreadMs: number;
}

const SHORTEST_GAP_MS = 60;
const GAP_SPREAD_MS = 700;
const SHORTEST_FAULT_MS = 150;
/** Beyond the silence after which gateways drop each other, 2 s. */
const FAULT_SPREAD_MS = 2_800;
const TARGETS = 1_000;
/** Shorter than other faults: the store is away for a moment only. */
const RESTORE_SPREAD_MS = 1_000;

/** Restores of the store from copies some seconds old. */
const RESTORE: SeparateFault<'restoreStore'> = {
  kind: 'restoreStore',
  shortestGapMs: 1_500,
  gapSpreadMs: 5_000,
  spanSpreadMs: RESTORE_SPREAD_MS,
};
/** Times in which gateways lose their links to all backend servers. */
const LINK_CUT: SeparateFault<'cutLinks'> = {
  kind: 'cutLinks',
  shortestGapMs: 800,
  gapSpreadMs: 3_000,
  spanSpreadMs: FAULT_SPREAD_MS,
};
/** Times in which most new connections go to one gateway. */
const FAVOUR: SeparateFault<'favourGateway'> = {
  kind: 'favourGateway',
  shortestGapMs: 1_500,
  gapSpreadMs: 4_000,
  spanSpreadMs: FAULT_SPREAD_MS,
};

/** Times in which a server sends bytes without end that are no answer. */
const ENDLESS: SeparateFault<'endlessAnswers'> = {
  kind: 'endlessAnswers',
  shortestGapMs: 600,
  gapSpreadMs: 2_000,
  spanSpreadMs: 1_000,
};

/** One in so many faults comes again at once at the next target. */
const SERIES_ONE_IN = 5;
const SERIES_LENGTH = 3;
const SERIES_GAP_MS = 120;

/** Faults within `forMs`, in the order of their time. */
export function drawSchedule(seed: number, forMs: number): ScheduledFault[] {
  const random = createRandom(seed);
  const faults: ScheduledFault[] = [];
  for (let atMs = drawGap(random); atMs < forMs; atMs += drawGap(random)) {
    const kind = KINDS[random.below(KINDS.length)] ?? 'stopGateway';
    const target = random.below(TARGETS);
    const spanMs = SHORTEST_FAULT_MS + random.below(FAULT_SPREAD_MS);
    const times = random.below(SERIES_ONE_IN) === 0 ? SERIES_LENGTH : 1;
    for (let index = 0; index < times; index += 1) {
      faults.push({
        atMs: atMs + index * SERIES_GAP_MS,
        kind,
        target: target + index,
        forMs: spanMs,
      });
    }
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

export function drawRestores(seed: number, forMs: number): ScheduledFault[] {
  return drawSeparately(RESTORE, seed, forMs);
}

export function drawLinkCuts(seed: number, forMs: number): ScheduledFault[] {
  return drawSeparately(LINK_CUT, seed, forMs);
}

export function drawFavours(seed: number, forMs: number): ScheduledFault[] {
  return drawSeparately(FAVOUR, seed, forMs);
}

export function drawEndlessAnswers(seed: number, forMs: number): ScheduledFault[] {
  return drawSeparately(ENDLESS, seed, forMs);
}

function drawSeparately(
  { kind, shortestGapMs, gapSpreadMs, spanSpreadMs }: SeparateFault<FaultKind>,
  seed: number,
  forMs: number,
): ScheduledFault[] {
  const random = createRandom(seed);
  const faults: ScheduledFault[] = [];
  const drawNextGap = (): number => shortestGapMs + random.below(gapSpreadMs);
  for (let atMs = drawNextGap(); atMs < forMs; atMs += drawNextGap()) {
    const target = random.below(TARGETS);
    const spanMs = SHORTEST_FAULT_MS + random.below(spanSpreadMs);
    faults.push({ atMs, kind, target, forMs: spanMs });
  }
  return faults;
}

const STREAM_CRASHES: readonly StreamCrash[] = [
  'after the head',
  'after some events',
  'within an unframed event',
  'after unframed events',
];

/** How engines crash under a prompt in this run. */
export function drawStreamCrash(seed: number): StreamCrash {
  return STREAM_CRASHES[createRandom(seed).below(STREAM_CRASHES.length)] ?? 'after the head';
}

function drawGap(random: Random): number {
  return SHORTEST_GAP_MS + random.below(GAP_SPREAD_MS);
}
