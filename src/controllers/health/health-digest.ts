/**
 * What an entry passes on of the engines that it probes, so that the others need not ask them.
 *
 * Most engines hold the place that the plan gives them, and every entry knows the plan: the fencing
 * number alone then stands for the whole report. Nothing in the text changes while nothing changes
 * at the engines, so that a heartbeat of its author is enough to keep it fresh.
 */
import * as z from 'zod';
import { engineLoadSchema, engineReportSchema } from '../../adapters/engines/protocol.js';
import type { EngineLoad, EngineReport } from '../../adapters/engines/protocol.js';
import type { Health, InstanceHealth, Plans, ReplicaLoad } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { nameSchema, type Replica } from '../../objects/index.js';
import { reportsPlace } from './gate.js';
import { recordPassedFailure, recordPassedReport } from './record.js';

/** Most instances of one list. */
const LIST_LENGTH = 256;
/** Digits of a load that are told: small changes are no change of the digest. */
const LOAD_DIGITS = 2;
const LONGEST_WITHIN_MS = 60_000;

const placedSchema = z.strictObject({
  instance: nameSchema,
  /** Of the plan under which it holds its place. */
  fence: z.number().int().nonnegative(),
  /** Only of a leader, and of an engine that has adapters. */
  inFlight: z.number().int().nonnegative().optional(),
  load: engineLoadSchema.omit({ ageMs: true }).optional(),
  adapters: z.array(nameSchema).max(64).optional(),
});

const otherSchema = engineReportSchema.omit({ load: true, cacheSequence: true }).strict();

/** What one entry says of the engines that it probes. */
export const healthDigestSchema = z.strictObject({
  /** Everything listed was heard by the author at most this long before the digest was made. */
  withinMs: z.number().nonnegative().max(LONGEST_WITHIN_MS),
  /** Those whose last probe or request failed at the author. */
  failing: z.array(nameSchema).max(LIST_LENGTH),
  /** Ready in the place that the plan gives them. */
  placed: z.array(placedSchema).max(LIST_LENGTH),
  /** All others. */
  others: z.array(otherSchema).max(LIST_LENGTH),
});

export type HealthDigest = z.infer<typeof healthDigestSchema>;
type Placed = HealthDigest['placed'][number];

/** A replica's place, by the instance that holds it. */
interface Place {
  replica: Replica;
  rank: number;
}

/** What a digest is made from. */
export interface PassingSource {
  plans: Plans;
  health: Health;
  /** The instances that this entry probes for all. */
  assigned: Iterable<string>;
  /** Those that failed at this entry itself, whoever probes them. */
  failing: Iterable<string>;
  withinMs: Milliseconds;
  /** Longest text; what does not fit is left to the others' own probes. */
  textLength: number;
}

/** What a digest teaches. */
export interface PassedNews {
  health: ReadonlyMap<string, InstanceHealth>;
  load: ReadonlyMap<string, ReplicaLoad>;
  /** Instances that this digest is the first to call failing. */
  failing: readonly string[];
}

/** What a digest is read against. */
export interface PassedView {
  plans: Plans;
  /** What is known of an instance, with what was heard a moment ago. */
  readHealth(instance: string): InstanceHealth | undefined;
}

/** When and by whom a digest was made. */
export interface PassedDigest {
  digest: HealthDigest;
  /** What the author's former digest called failing. */
  failedBefore: ReadonlySet<string>;
  /** How old it is, with the longest time that it can have been under way. */
  ageMs: Milliseconds;
}

/**
 * The digest of this entry, cut to its bound: failures first.
 *
 * @example const digest = composeHealthDigest(source, clock.now());
 */
export function composeHealthDigest(source: PassingSource, now: Milliseconds): HealthDigest {
  const { plans, health, withinMs } = source;
  const digest: HealthDigest = { withinMs, failing: [], placed: [], others: [] };
  let left = source.textLength - JSON.stringify(digest).length;
  const take = <Value>(list: Value[], value: Value): void => {
    const length = JSON.stringify(value).length + 1;
    if (length > left || list.length >= LIST_LENGTH) return;
    left -= length;
    list.push(value);
  };
  for (const name of [...source.failing].sort()) take(digest.failing, name);
  const places = locateMembers(plans);
  for (const name of [...source.assigned].sort()) {
    const known = health.get(name);
    if (known?.report === undefined || known.failingSince !== undefined) continue;
    if (now - known.heardAt > withinMs) continue;
    const placed = describePlaced(known.report, places.get(name));
    if (placed !== undefined) take(digest.placed, placed);
    else take(digest.others, describeOther(known.report));
  }
  return digest;
}

/**
 * What the digest of a peer teaches this entry.
 *
 * A failure is taken over once, when the peer's digest first names it. Were it taken again with
 * each digest, a peer whose own link to an engine is cut would keep that engine's replica out of
 * service at every entry, also at those that reach it: their own later report ends the failing.
 */
export function readHealthDigest(
  view: PassedView,
  { digest, failedBefore, ageMs }: PassedDigest,
  now: Milliseconds,
): PassedNews {
  const health = new Map<string, InstanceHealth>();
  const load = new Map<string, ReplicaLoad>();
  const places = locateMembers(view.plans);
  const keep = (report: EngineReport): void => {
    const previous = view.readHealth(report.instance);
    const next = recordPassedReport(previous, report, ageMs, digest.withinMs, now);
    if (next !== previous) health.set(report.instance, next);
  };
  for (const other of digest.others) keep({ ...other, cacheSequence: 0 });
  for (const placed of digest.placed) {
    const place = places.get(placed.instance);
    // Another plan is in force here or there: the fence does not stand for a known report.
    if (place?.replica.fence !== placed.fence) continue;
    keep(restoreReport(placed, place));
    if (placed.load === undefined || place.rank !== 0) continue;
    const measuredAt = now - ageMs - digest.withinMs;
    load.set(place.replica.id, { load: { ...placed.load, ageMs: 0 }, measuredAt });
  }
  const failing = digest.failing.filter((name) => !failedBefore.has(name));
  for (const name of failing) {
    const previous = health.get(name) ?? view.readHealth(name);
    const next = recordPassedFailure(previous, ageMs, now);
    if (next !== previous) health.set(name, next);
  }
  return { health, load, failing };
}

function locateMembers(plans: Plans): ReadonlyMap<string, Place> {
  const places = new Map<string, Place>();
  for (const { value } of plans.values()) {
    for (const replica of value.replicas) {
      replica.members.forEach(({ instance }, rank) => places.set(instance, { replica, rank }));
    }
  }
  return places;
}

/** Undefined unless the report is the one that the plan's fence stands for. */
function describePlaced(report: EngineReport, place: Place | undefined): Placed | undefined {
  if (place === undefined || report.state !== 'ready' || report.leaving) return undefined;
  const { replica, rank } = place;
  if (report.incarnation !== replica.members[rank]?.incarnation) return undefined;
  if (!reportsPlace(report, replica, rank) || report.fence !== replica.fence) return undefined;
  const { instance, inFlight, load, adapters } = report;
  return {
    instance,
    fence: replica.fence,
    ...(inFlight > 0 && { inFlight }),
    ...(load !== undefined && { load: roundLoad(load) }),
    ...(adapters.length > 0 && { adapters }),
  };
}

function roundLoad(load: EngineLoad): Placed['load'] {
  const { running, waiting, batchSize, prefillMsPerToken, decodeMsPerToken } = load;
  return {
    running,
    waiting,
    batchSize,
    prefillMsPerToken,
    decodeMsPerToken,
    pendingPromptTokens: roundCount(load.pendingPromptTokens),
    pendingOutputTokens: roundCount(load.pendingOutputTokens),
    cacheUse: roundCount(load.cacheUse),
  };
}

function roundCount(value: number): number {
  return Number(value.toPrecision(LOAD_DIGITS));
}

function describeOther(report: EngineReport): HealthDigest['others'][number] {
  const { instance, incarnation, state, replica, fence, leaving, inFlight, adapters } = report;
  const other = { instance, incarnation, state, fence, leaving, inFlight, adapters };
  return replica === undefined ? other : { ...other, replica };
}

/** The report that an engine in `place` gives; the opposite of {@link describePlaced}. */
function restoreReport(placed: Placed, { replica, rank }: Place): EngineReport {
  const { id, fence, model, weights, members } = replica;
  return {
    instance: placed.instance,
    incarnation: members[rank]?.incarnation ?? '',
    state: 'ready',
    replica: { id, fence, model, weights, rank, size: members.length },
    fence,
    leaving: false,
    inFlight: placed.inFlight ?? 0,
    adapters: placed.adapters ?? [],
    cacheSequence: 0,
  };
}
