/**
 * The bounds of the capacity benchmark: ratios and slopes within one run.
 */
import type { Measurement } from './measurement.js';
import { fitLine } from './slopes.js';

const PROBE_MS = 500;

/** One bound and what was measured against it. */
export interface BoundCheck {
  what: string;
  most: number;
  measured: number;
}

/** The measurements by what they are compared for. */
export interface MeasuredSizes {
  small: Measurement;
  manyEngines: Measurement;
  manyDomains: Measurement;
  nineEntries: Measurement;
  manyEntries: Measurement;
  oneDomain: Measurement;
  bareHeapMb: number;
}

/** All checks of a run; one is missed when `measured` is above `most`. */
export function checkBounds(sizes: MeasuredSizes): BoundCheck[] {
  const { small, manyEngines, manyDomains, nineEntries, manyEntries, oneDomain } = sizes;
  const peerBytes = [small, nineEntries, manyEntries];
  const bytesLine = fitLine(
    peerBytes.map(({ entries, peerBytesRead }) => ({ at: entries, value: peerBytesRead })),
  );
  const perEngine = ({ probes, entries, engines }: Measurement): number =>
    (probes * entries) / engines;
  return [
    {
      what: 'probes of each engine, 9 entries against 3',
      most: 3,
      measured: perEngine(nineEntries) / perEngine(small),
    },
    {
      what: 'probes of each engine a second, in one failure domain of the planned size',
      most: 4,
      measured: perEngine(oneDomain),
    },
    {
      what: 'a dead member known at the last of 9 entries, in probe intervals of 500 ms',
      most: 4,
      measured: Math.max(...nineEntries.deadMemberMs) / PROBE_MS,
    },
    { what: 'bytes of a probe', most: 300, measured: nineEntries.probeBytes / nineEntries.probes },
    {
      // Received: what is written to sockets can't be told from lines of the log.
      what: 'bytes a second from peers that one more entry adds to each',
      most: 40,
      measured: bytesLine.slope,
    },
    {
      what: 'platform writes a second that one more fabric domain adds',
      most: 0.7,
      measured:
        (manyDomains.allPlatformWrites - small.allPlatformWrites) /
        (manyDomains.fabricDomains - small.fabricDomains),
    },
    {
      what: 'heap of control above bare Node in MB, with 212 engines',
      most: 64,
      measured: manyEngines.heapMb - sizes.bareHeapMb,
    },
    {
      what: 'processor time of an entry, 9 entries against 3',
      most: 2,
      measured: nineEntries.processorPercent / small.processorPercent,
    },
  ];
}
