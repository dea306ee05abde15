/**
 * Which entry asks which engine for its report.
 *
 * Every engine has a few probers, chosen by rendezvous hashing so that all entries agree without
 * talking and a lost entry moves only its own share. The rest learn the report from them. An entry
 * that hears nothing of an engine, from whomever, asks it itself: reports that peers do not pass on
 * cost more probes, never a wrong answer.
 */
import type { Health } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';

/** An entry that probes. */
export interface Prober {
  name: string;
  failureDomain: string;
}

/** An instance to be probed. */
export interface ProbeTarget {
  name: string;
  failureDomain: string;
}

/** An entry of the same failure domain wins over any other: its links are the short ones. */
const SAME_DOMAIN_BONUS = 1;

/** Part of the freshness bound that is left, at the least, for an entry's own probe. */
const OWN_PROBE_SHARE = 0.2;

/** The longest time between two probes of an instance that others are to probe. */
const MAX_PACE_MS = 10_000;

/** How many times as often an instance is asked while it fails. */
const FAILING_PACE = 4;

/**
 * The instances that `self` probes when each has `redundancy` probers among `entries`, of its own
 * failure domain as far as there are any.
 *
 * @example assignProbes(entries, engines, 'entry-1', 2)
 */
export function assignProbes(
  entries: readonly Prober[],
  instances: readonly ProbeTarget[],
  self: string,
  redundancy: number,
): string[] {
  if (entries.length <= redundancy) return instances.map(({ name }) => name);
  const local = groupByDomain(entries);
  const own = entries.find((entry) => entry.name === self)?.failureDomain;
  return instances
    .filter((instance) => {
      const near = local.get(instance.failureDomain) ?? [];
      if (near.length >= redundancy && instance.failureDomain !== own) return false;
      const probers = near.length >= redundancy ? near : entries;
      return chooseProbers(probers, instance, redundancy).includes(self);
    })
    .map(({ name }) => name);
}

/** The names of the `redundancy` entries that probe `instance`, the first choice first. */
export function chooseProbers(
  entries: readonly Prober[],
  instance: ProbeTarget,
  redundancy: number,
): string[] {
  const scored = entries.map((entry) => ({
    name: entry.name,
    score: scoreProber(entry, instance),
  }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.slice(0, redundancy).map(({ name }) => name);
}

/** When one instance was asked last, for {@link listDueProbes}. */
export interface ProbeState {
  askedAt: Milliseconds;
  underWay: boolean;
}

/** What {@link listDueProbes} goes by. */
export interface ProbeSchedule {
  targets: readonly string[];
  /** Those that this entry probes on behalf of all. */
  assigned: ReadonlySet<string>;
  states: ReadonlyMap<string, ProbeState>;
  health: Health;
  probeEveryMs: Milliseconds;
  probeTimeoutMs: Milliseconds;
  freshMs: Milliseconds;
}

/** The instances to be asked at `now`. */
export function listDueProbes(schedule: ProbeSchedule, now: Milliseconds): string[] {
  return schedule.targets.filter((name) => {
    const state = schedule.states.get(name);
    if (state === undefined) return true;
    if (state.underWay) return false;
    return now - state.askedAt >= findPace(schedule, name, state.askedAt, now);
  });
}

/**
 * How long to leave `name` alone. An assigned instance that fails is asked more often, since a
 * replica waits for its recovery. One of the others that nobody is heard to have reached is asked
 * the more rarely the longer that lasts: a dead engine must not draw probes from every entry.
 */
function findPace(
  schedule: ProbeSchedule,
  name: string,
  askedAt: Milliseconds,
  now: Milliseconds,
): Milliseconds {
  const { probeEveryMs, probeTimeoutMs, freshMs } = schedule;
  const known = schedule.health.get(name);
  if (schedule.assigned.has(name)) {
    return known?.failingSince === undefined ? probeEveryMs : probeEveryMs / FAILING_PACE;
  }
  const unheardMs = known === undefined ? freshMs : now - known.heardAt;
  // One look of its own; after that the prober's digest tells when the engine is back. Were all to
  // ask at the prober's pace, a dark domain would draw hundreds of probes a second from each entry.
  if (known?.failingSince !== undefined) {
    if (askedAt < known.failingSince) return 0;
    return Math.min(MAX_PACE_MS, Math.max(freshMs / 2, unheardMs / FAILING_PACE));
  }
  // The answer has to be there before the engine counts as unheard.
  const leftMs = Math.max(probeEveryMs + probeTimeoutMs, freshMs * OWN_PROBE_SHARE);
  if (unheardMs < freshMs - leftMs) return Number.POSITIVE_INFINITY;
  return Math.min(MAX_PACE_MS, Math.max(probeEveryMs, unheardMs / FAILING_PACE));
}

function groupByDomain(entries: readonly Prober[]): ReadonlyMap<string, readonly Prober[]> {
  const groups = new Map<string, Prober[]>();
  for (const entry of entries) {
    const group = groups.get(entry.failureDomain);
    if (group === undefined) groups.set(entry.failureDomain, [entry]);
    else group.push(entry);
  }
  return groups;
}

function scoreProber(entry: Prober, instance: ProbeTarget): number {
  const bonus = entry.failureDomain === instance.failureDomain ? SAME_DOMAIN_BONUS : 0;
  return bonus + hashFraction(`${entry.name}/${instance.name}`);
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const HASH_RANGE = 2 ** 32;

/** A number in [0, 1) that depends on `text` alone: FNV-1a with a final mix. */
export function hashFraction(text: string): number {
  let hash = FNV_OFFSET;
  for (let at = 0; at < text.length; at += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return ((hash ^ (hash >>> 16)) >>> 0) / HASH_RANGE;
}
