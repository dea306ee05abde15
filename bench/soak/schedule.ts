/**
 * Which faults come when: drawn from a seed. Faults overlap, and some come in series.
 */
import type { StreamCrash } from '../../features/gateway/stand-ins/engine.js';
import { createRandom, type Random } from '../../src/core/random/index.js';

export type FaultKind = (typeof KINDS)[number] | typeof RESTORE | typeof LINK_CUT | typeof FAVOUR;

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

/** Drawn apart from the others, so that a seed without restores stays the same. */
const RESTORE = 'restoreStore';
const SHORTEST_RESTORE_GAP_MS = 1_500;
const RESTORE_GAP_SPREAD_MS = 5_000;
/** Shorter than other faults: the store is away for a moment only. */
const RESTORE_SPREAD_MS = 1_000;

/** Drawn apart from the others as well. */
const LINK_CUT = 'cutLinks';
const SHORTEST_LINK_CUT_GAP_MS = 800;
const LINK_CUT_GAP_SPREAD_MS = 3_000;

/** Drawn apart from the others as well. */
const FAVOUR = 'favourGateway';
const SHORTEST_FAVOUR_GAP_MS = 1_500;
const FAVOUR_GAP_SPREAD_MS = 4_000;

const SHORTEST_GAP_MS = 60;
const GAP_SPREAD_MS = 700;
const SHORTEST_FAULT_MS = 150;
/** Beyond the silence after which gateways drop each other, 2 s. */
const FAULT_SPREAD_MS = 2_800;
const TARGETS = 1_000;
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

/** Restores of the store from copies some seconds old, within `forMs`. */
export function drawRestores(seed: number, forMs: number): ScheduledFault[] {
  const random = createRandom(seed);
  const faults: ScheduledFault[] = [];
  const drawRestoreGap = (): number =>
    SHORTEST_RESTORE_GAP_MS + random.below(RESTORE_GAP_SPREAD_MS);
  for (let atMs = drawRestoreGap(); atMs < forMs; atMs += drawRestoreGap()) {
    const target = random.below(TARGETS);
    const spanMs = SHORTEST_FAULT_MS + random.below(RESTORE_SPREAD_MS);
    faults.push({ atMs, kind: RESTORE, target, forMs: spanMs });
  }
  return faults;
}

/** Times in which gateways lose their links to all backend servers, within `forMs`. */
export function drawLinkCuts(seed: number, forMs: number): ScheduledFault[] {
  const random = createRandom(seed);
  const faults: ScheduledFault[] = [];
  const drawCutGap = (): number => SHORTEST_LINK_CUT_GAP_MS + random.below(LINK_CUT_GAP_SPREAD_MS);
  for (let atMs = drawCutGap(); atMs < forMs; atMs += drawCutGap()) {
    const target = random.below(TARGETS);
    faults.push({
      atMs,
      kind: LINK_CUT,
      target,
      forMs: SHORTEST_FAULT_MS + random.below(FAULT_SPREAD_MS),
    });
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

/** Times in which most new connections go to one gateway, within `forMs`. */
export function drawFavours(seed: number, forMs: number): ScheduledFault[] {
  const random = createRandom(seed);
  const faults: ScheduledFault[] = [];
  const drawFavourGap = (): number => SHORTEST_FAVOUR_GAP_MS + random.below(FAVOUR_GAP_SPREAD_MS);
  for (let atMs = drawFavourGap(); atMs < forMs; atMs += drawFavourGap()) {
    const target = random.below(TARGETS);
    const spanMs = SHORTEST_FAULT_MS + random.below(FAULT_SPREAD_MS);
    faults.push({ atMs, kind: FAVOUR, target, forMs: spanMs });
  }
  return faults;
}

function drawGap(random: Random): number {
  return SHORTEST_GAP_MS + random.below(GAP_SPREAD_MS);
}
