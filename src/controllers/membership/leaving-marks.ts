/**
 * Marks on instances that are leaving, from whoever saw it first.
 *
 * The platform's list lags, so the engine's own word and the word of other entries count as well.
 * A mark stays until the instance is gone from the list, until the list shows it live in a version
 * newer than the mark, or until the instance itself reports another start that is not leaving.
 */
import type { Fleet, Health, InstanceHealth } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { InstanceList } from '../configuration/index.js';
import { DIGEST_LIST_LENGTH, type LeavingMark } from './messages.js';

/** A mark and when it was first seen here. */
export interface MarkRecord extends LeavingMark {
  seenAt: Milliseconds;
  /** No longer holds; kept so that a late copy of the mark is recognised. */
  cleared: boolean;
}

/** By instance name. */
export type LeavingMarks = ReadonlyMap<string, MarkRecord>;

/** Marks after the list and the engines' own reports were looked at. */
export function updateMarks(
  marks: LeavingMarks,
  list: InstanceList,
  health: Health,
  now: Milliseconds,
): LeavingMarks {
  const next = new Map<string, MarkRecord>();
  for (const [name, { version, value }] of list.instances) {
    const before = marks.get(name);
    const report = health.get(name);
    const after = observeReport(before, name, version, report, now);
    if (after === undefined) continue;
    const isLiveAgain = value.state === 'live' && version > after.version;
    const holds = !after.cleared && !isLiveAgain && !isOtherStart(after, report);
    next.set(name, holds === !after.cleared ? after : { ...after, cleared: !holds });
  }
  return next;
}

function observeReport(
  before: MarkRecord | undefined,
  instance: string,
  version: number,
  health: InstanceHealth | undefined,
  now: Milliseconds,
): MarkRecord | undefined {
  const report = health?.report;
  if (report?.leaving !== true) return before;
  const { incarnation } = report;
  // A newer version of the list does not lift the mark while the instance itself keeps it up:
  // it may be a change of a label, which says nothing of leaving.
  if (before?.cleared === false && before.version >= version) return before;
  return { instance, version, incarnation, seenAt: now, cleared: false };
}

/** A report that was received after the mark and comes from another start, which stays. */
function isOtherStart(mark: MarkRecord, health: InstanceHealth | undefined): boolean {
  const report = health?.report;
  if (report === undefined || health === undefined || mark.incarnation === undefined) return false;
  return !report.leaving && report.incarnation !== mark.incarnation && health.heardAt > mark.seenAt;
}

/** Marks after those of a peer were taken over. */
export function adoptMarks(
  marks: LeavingMarks,
  offered: readonly LeavingMark[],
  now: Milliseconds,
): LeavingMarks {
  let next: Map<string, MarkRecord> | undefined;
  for (const mark of offered) {
    const before = (next ?? marks).get(mark.instance);
    if (before !== undefined && !isNewer(mark, before)) continue;
    next ??= new Map(marks);
    next.set(mark.instance, { ...mark, seenAt: now, cleared: false });
  }
  return next ?? marks;
}

/** A copy of a mark that was cleared here must not bring it back. */
function isNewer(mark: LeavingMark, before: MarkRecord): boolean {
  if (mark.version !== before.version) return mark.version > before.version;
  return before.cleared && mark.incarnation !== before.incarnation;
}

/** The marks that hold, for this entry's own digest. */
export function listMarks(marks: LeavingMarks): LeavingMark[] {
  const holding = [...marks.values()].filter((mark) => !mark.cleared);
  return holding.slice(0, DIGEST_LIST_LENGTH).map(({ instance, version, incarnation }) => ({
    instance,
    version,
    ...(incarnation === undefined ? {} : { incarnation }),
  }));
}

/** The `fleet` section: whoever the list or a mark says is leaving gets no new work. */
export function composeFleet(list: InstanceList, marks: LeavingMarks): Fleet {
  const leaving = new Set<string>();
  const instances = new Map([...list.instances].map(([name, { value }]) => [name, value] as const));
  for (const [name, instance] of instances) {
    if (instance.state === 'leaving' || marks.get(name)?.cleared === false) leaving.add(name);
  }
  return { revision: list.revision, instances, leaving };
}
