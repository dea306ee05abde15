/**
 * Writes the `fleet` section from the platform's instance list, engine reports and the leaving
 * marks of peers.
 */
import {
  mergeLeavingMarks,
  composeFleet,
  listActiveLeavingMarks,
  updateLeavingMarks,
  type LeavingMark,
  type LeavingMarks,
} from '../../controllers/membership/index.js';
import type { ConfigurationPart } from '../configuration/index.js';
import type { EntryContext } from '../types.js';

/** The only writer of the `fleet` section. */
export interface FleetWriter {
  /** Recomputes the section and writes it if the instances or the leaving ones changed. */
  update(): void;
  /** Updates after a short delay, once for all reports that arrive until then. */
  scheduleUpdate(): void;
  /** Merges leaving marks received from a peer or set by an operator. */
  mergeMarks(offered: readonly LeavingMark[]): void;
  /** The leaving marks in effect, for the digest. */
  currentMarks(): LeavingMark[];
  stop(): void;
}

/** Batches reports: a large fleet sends thousands a second, and each update visits all instances. */
const UPDATE_DELAY_MS = 100;

/** Creates a writer without leaving marks. */
export function createFleetWriter(
  { board, clock, logger, writers }: EntryContext,
  configuration: Pick<ConfigurationPart, 'instances'>,
): FleetWriter {
  let marks: LeavingMarks = new Map();
  let writtenListVersion = -1;
  let timer: NodeJS.Timeout | undefined;

  const update = (): void => {
    const { instances } = configuration;
    marks = updateLeavingMarks(marks, instances.read(), board.health.read(), clock.now());
    const previous = writers.fleet.read();
    const next = composeFleet(instances.read(), marks);
    const hasSameLeaving =
      previous.leaving.size === next.leaving.size &&
      [...next.leaving].every((name) => previous.leaving.has(name));
    if (hasSameLeaving && writtenListVersion === instances.version()) return;
    writtenListVersion = instances.version();
    for (const name of next.leaving) {
      if (!previous.leaving.has(name)) logger.log('instanceLeaving', { instance: name });
    }
    writers.fleet.write(next);
  };

  return {
    update,
    scheduleUpdate: () => {
      timer ??= setTimeout(() => {
        timer = undefined;
        update();
      }, UPDATE_DELAY_MS);
    },
    stop: () => {
      clearTimeout(timer);
    },
    mergeMarks: (peerMarks) => {
      const previous = marks;
      marks = mergeLeavingMarks(marks, peerMarks, clock.now());
      if (marks !== previous) update();
    },
    currentMarks: () => listActiveLeavingMarks(marks),
  };
}
