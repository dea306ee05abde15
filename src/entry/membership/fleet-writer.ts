/**
 * Writes the `fleet` section from the platform's list, the engines' reports and peers' marks.
 */
import {
  adoptMarks,
  composeFleet,
  listMarks,
  updateMarks,
  type LeavingMark,
  type LeavingMarks,
} from '../../controllers/membership/index.js';
import type { ConfigurationPart } from '../configuration/index.js';
import type { EntryContext } from '../types.js';

/** The one writer of the `fleet` section. */
export interface FleetWriter {
  /** Looks at the list and the reports again; writes only what changed. */
  update(): void;
  /** The same, once for all the reports of a short while. */
  updateSoon(): void;
  /** Takes over the marks of a peer. */
  adopt(offered: readonly LeavingMark[]): void;
  /** The marks that hold, for the digest. */
  marks(): LeavingMark[];
  stop(): void;
}

/** Reports come by the thousand a second in a large fleet; a look at all instances is dear. */
const UPDATE_PAUSE_MS = 100;

/** A writer that starts without marks. */
export function createFleetWriter(
  { board, clock, logger, writers }: EntryContext,
  configuration: Pick<ConfigurationPart, 'instances'>,
): FleetWriter {
  let marks: LeavingMarks = new Map();
  let listVersion = -1;
  let timer: NodeJS.Timeout | undefined;

  const update = (): void => {
    const { instances } = configuration;
    marks = updateMarks(marks, instances.read(), board.health.read(), clock.now());
    const before = writers.fleet.read();
    const after = composeFleet(instances.read(), marks);
    const hasSameLeaving =
      before.leaving.size === after.leaving.size &&
      [...after.leaving].every((name) => before.leaving.has(name));
    if (hasSameLeaving && listVersion === instances.version()) return;
    listVersion = instances.version();
    for (const name of after.leaving) {
      if (!before.leaving.has(name)) logger.log('instanceLeaving', { instance: name });
    }
    writers.fleet.write(after);
  };

  return {
    update,
    updateSoon: () => {
      timer ??= setTimeout(() => {
        timer = undefined;
        update();
      }, UPDATE_PAUSE_MS);
    },
    stop: () => {
      clearTimeout(timer);
    },
    adopt: (offered) => {
      const before = marks;
      marks = adoptMarks(marks, offered, clock.now());
      if (marks !== before) update();
    },
    marks: () => listMarks(marks),
  };
}
