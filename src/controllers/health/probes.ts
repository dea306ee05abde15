/**
 * Assigns engines to the entries that probe them, and schedules the probes.
 *
 * The probers of an engine are chosen by rendezvous hashing, so that all entries agree without
 * coordination and the loss of an entry reassigns only its own engines. The other entries receive
 * the reports from the probers. An entry that receives none probes the engine itself, so a missing
 * relay causes more probes but no wrong result.
 */
import type { Health } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';

export interface Prober {
  name: string;
  failureDomain: string;
}

export interface ProbeTarget {
  name: string;
  failureDomain: string;
}

/**
 * Ranks entries of the instance's failure domain above all others, since their links are shorter.
 */
const SAME_DOMAIN_BONUS = 1;

/** Minimum fraction of the freshness bound reserved for an entry's own probe. */
const OWN_PROBE_FRACTION = 0.2;

/** Maximum interval between probes of an instance that is assigned to other entries. */
const MAX_PROBE_INTERVAL_MS = 10_000;

/**
 * Divides the probe interval of an assigned instance that is failing, and the silence of an
 * unassigned one to get its interval.
 */
const PROBE_INTERVAL_DIVISOR = 4;

/**
 * Lists the instances that `self` probes when each has `redundancy` probers. Probers are entries of
 * the instance's own failure domain if it has enough of them.
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
  const entriesByDomain = groupByDomain(entries);
  const ownDomain = entries.find((entry) => entry.name === self)?.failureDomain;
  return instances
    .filter((instance) => {
      const localEntries = entriesByDomain.get(instance.failureDomain) ?? [];
      if (localEntries.length >= redundancy && instance.failureDomain !== ownDomain) return false;
      const probers = localEntries.length >= redundancy ? localEntries : entries;
      return chooseProbers(probers, instance, redundancy).includes(self);
    })
    .map(({ name }) => name);
}

/** Returns the names of the `redundancy` entries that probe `instance`, highest ranked first. */
export function chooseProbers(
  entries: readonly Prober[],
  instance: ProbeTarget,
  redundancy: number,
): string[] {
  const ranked = entries.map((entry) => ({
    name: entry.name,
    score: scoreProber(entry, instance),
  }));
  ranked.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return ranked.slice(0, redundancy).map(({ name }) => name);
}

/** The last probe of an instance, for {@link listDueProbes}. */
export interface ProbeState {
  askedAt: Milliseconds;
  underWay: boolean;
}

/** Options of {@link listDueProbes}. */
export interface ProbeSchedule {
  targets: readonly string[];
  /** The instances that this entry probes on behalf of all entries. */
  assigned: ReadonlySet<string>;
  states: ReadonlyMap<string, ProbeState>;
  health: Health;
  probeEveryMs: Milliseconds;
  probeTimeoutMs: Milliseconds;
  freshMs: Milliseconds;
}

/** Lists the instances to be probed at `now`. */
export function listDueProbes(schedule: ProbeSchedule, now: Milliseconds): string[] {
  return schedule.targets.filter((name) => {
    const state = schedule.states.get(name);
    if (state === undefined) return true;
    if (state.underWay) return false;
    return now - state.askedAt >= computeProbeInterval(schedule, name, state.askedAt, now);
  });
}

/**
 * Returns the minimum interval between probes of `name`. An assigned instance is probed more often
 * while it is failing, so that its replica returns to service quickly. For an unassigned instance
 * the interval grows with its silence, so that a dead engine is not probed constantly by all
 * entries.
 */
function computeProbeInterval(
  schedule: ProbeSchedule,
  name: string,
  askedAt: Milliseconds,
  now: Milliseconds,
): Milliseconds {
  const { probeEveryMs, probeTimeoutMs, freshMs } = schedule;
  const health = schedule.health.get(name);
  if (schedule.assigned.has(name)) {
    return health?.failingSince === undefined
      ? probeEveryMs
      : probeEveryMs / PROBE_INTERVAL_DIVISOR;
  }
  const silentMs = health === undefined ? freshMs : now - health.heardAt;
  // Each entry probes a failing engine once itself, and then only rarely, since the prober's digest
  // reports its recovery. Probing at the prober's rate would cost hundreds of probes a second per
  // entry when a domain is unreachable.
  if (health?.failingSince !== undefined) {
    if (askedAt < health.failingSince) return 0;
    return Math.min(
      MAX_PROBE_INTERVAL_MS,
      Math.max(freshMs / 2, silentMs / PROBE_INTERVAL_DIVISOR),
    );
  }
  // Leaves enough time for the response to arrive before the last report expires.
  const marginMs = Math.max(probeEveryMs + probeTimeoutMs, freshMs * OWN_PROBE_FRACTION);
  if (silentMs < freshMs - marginMs) return Number.POSITIVE_INFINITY;
  return Math.min(MAX_PROBE_INTERVAL_MS, Math.max(probeEveryMs, silentMs / PROBE_INTERVAL_DIVISOR));
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

/** Hashes `text` to a number in [0, 1), using FNV-1a with a finalizer. */
export function hashFraction(text: string): number {
  let hash = FNV_OFFSET;
  for (let at = 0; at < text.length; at += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return ((hash ^ (hash >>> 16)) >>> 0) / HASH_RANGE;
}
