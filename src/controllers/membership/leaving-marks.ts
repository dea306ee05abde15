/**
 * Tracks which instances are leaving, from the engines' reports and the marks of other entries.
 *
 * The platform's list lags, so these sources count as well. A mark is cleared when the instance
 * disappears from the list, when the list shows it live in a version newer than the mark, or when
 * the instance reports a new incarnation that is not leaving.
 */
import type { Fleet, Health, InstanceHealth } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { InstanceList } from '../configuration/index.js';
import { MAX_DIGEST_LIST_LENGTH, type LeavingMark } from './messages.js';

/** A mark and when it was recorded at this entry. */
export interface LeavingMarkRecord extends LeavingMark {
  seenAt: Milliseconds;
  /** The mark no longer applies; kept so that a late copy of it is ignored. */
  cleared: boolean;
}

/** Marks by instance name. */
export type LeavingMarks = ReadonlyMap<string, LeavingMarkRecord>;

/** Updates the marks from the platform's list and the engines' own reports. */
export function updateLeavingMarks(
  marks: LeavingMarks,
  list: InstanceList,
  health: Health,
  now: Milliseconds,
): LeavingMarks {
  const next = new Map<string, LeavingMarkRecord>();
  for (const [name, { version, value }] of list.instances) {
    const previous = marks.get(name);
    const instanceHealth = health.get(name);
    const current = applyReport(previous, name, version, instanceHealth, now);
    if (current === undefined) continue;
    const isLiveAgain = value.state === 'live' && version > current.version;
    const isActive = !current.cleared && !isLiveAgain && !isReplaced(current, instanceHealth);
    next.set(name, isActive === !current.cleared ? current : { ...current, cleared: !isActive });
  }
  return next;
}

function applyReport(
  previous: LeavingMarkRecord | undefined,
  instance: string,
  version: number,
  health: InstanceHealth | undefined,
  now: Milliseconds,
): LeavingMarkRecord | undefined {
  const report = health?.report;
  if (report?.leaving !== true) return previous;
  const { incarnation } = report;
  // Renews the mark at a newer list version while the instance itself reports leaving: the version
  // may result from an unrelated change, such as a label, and must not clear the mark.
  if (previous?.cleared === false && previous.version >= version) return previous;
  return { instance, version, incarnation, seenAt: now, cleared: false };
}

/** Whether a report newer than the mark comes from another incarnation that is not leaving. */
function isReplaced(mark: LeavingMarkRecord, health: InstanceHealth | undefined): boolean {
  const report = health?.report;
  if (report === undefined || health === undefined || mark.incarnation === undefined) return false;
  return !report.leaving && report.incarnation !== mark.incarnation && health.heardAt > mark.seenAt;
}

/** Merges the marks received from a peer. */
export function mergeLeavingMarks(
  marks: LeavingMarks,
  received: readonly LeavingMark[],
  now: Milliseconds,
): LeavingMarks {
  let next: Map<string, LeavingMarkRecord> | undefined;
  for (const mark of received) {
    const previous = (next ?? marks).get(mark.instance);
    if (previous !== undefined && !supersedes(mark, previous)) continue;
    next ??= new Map(marks);
    next.set(mark.instance, { ...mark, seenAt: now, cleared: false });
  }
  return next ?? marks;
}

/** Whether `mark` is newer than `known`. A copy of a cleared mark must not restore it. */
function supersedes(mark: LeavingMark, known: LeavingMarkRecord): boolean {
  if (mark.version !== known.version) return mark.version > known.version;
  return known.cleared && mark.incarnation !== known.incarnation;
}

/** Lists the active marks, for this entry's own digest. */
export function listActiveLeavingMarks(marks: LeavingMarks): LeavingMark[] {
  const active = [...marks.values()].filter((mark) => !mark.cleared);
  return active.slice(0, MAX_DIGEST_LIST_LENGTH).map(({ instance, version, incarnation }) => ({
    instance,
    version,
    ...(incarnation === undefined ? {} : { incarnation }),
  }));
}

/** Builds the `fleet` section: an instance is leaving if the list or an active mark says so. */
export function composeFleet(list: InstanceList, marks: LeavingMarks): Fleet {
  const leaving = new Set<string>();
  const instances = new Map([...list.instances].map(([name, { value }]) => [name, value] as const));
  for (const [name, instance] of instances) {
    if (instance.state === 'leaving' || marks.get(name)?.cleared === false) leaving.add(name);
  }
  return { revision: list.revision, instances, leaving };
}
