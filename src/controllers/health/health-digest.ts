/**
 * Encodes and decodes the health digest, by which an entry relays the reports of the engines that
 * it probes, so that other entries need not probe them.
 *
 * Every entry knows the plan, so for an engine in its planned placement the fencing token replaces
 * the whole report. The text changes only when an engine's state does; otherwise a gossip heartbeat
 * of its author is enough to keep it fresh.
 */
import * as z from 'zod';
import { engineLoadSchema, engineReportSchema } from '../../adapters/engines/protocol.js';
import type { EngineLoad, EngineReport } from '../../adapters/engines/protocol.js';
import type { Health, InstanceHealth, Plans, ReplicaLoad } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { nameSchema, type Replica } from '../../objects/index.js';
import { matchesPlacement } from './eligibility.js';
import { recordRelayedFailure, recordRelayedReport } from './record.js';

/** Maximum number of instances in each list of a digest. */
const MAX_LIST_LENGTH = 256;
/** Loads are rounded so that small fluctuations don't change the digest. */
const LOAD_SIGNIFICANT_DIGITS = 2;
const MAX_WITHIN_MS = 60_000;

const placedEngineSchema = z.strictObject({
  instance: nameSchema,
  /** The fencing token of the replica that the engine belongs to. */
  fence: z.number().int().nonnegative(),
  /** Omitted if zero. */
  inFlight: z.number().int().nonnegative().optional(),
  load: engineLoadSchema.omit({ ageMs: true }).optional(),
  adapters: z.array(nameSchema).max(64).optional(),
});

const otherEngineSchema = engineReportSchema.omit({ load: true, cacheSequence: true }).strict();

/** The health that an entry reports of the engines that it probes. */
export const healthDigestSchema = z.strictObject({
  /** Maximum age of the listed reports when the digest was created. */
  withinMs: z.number().nonnegative().max(MAX_WITHIN_MS),
  /** Instances whose last probe or request by the author failed. */
  failing: z.array(nameSchema).max(MAX_LIST_LENGTH),
  /** Engines that are ready in their planned placement. */
  placed: z.array(placedEngineSchema).max(MAX_LIST_LENGTH),
  /** Reports of all other engines. */
  others: z.array(otherEngineSchema).max(MAX_LIST_LENGTH),
});

export type HealthDigest = z.infer<typeof healthDigestSchema>;
type PlacedEngine = HealthDigest['placed'][number];

/** The replica and rank that the plan assigns to an instance. */
interface Placement {
  replica: Replica;
  rank: number;
}

/** Source data of {@link composeHealthDigest}. */
export interface HealthDigestSource {
  plans: Plans;
  health: Health;
  /** The instances that this entry probes on behalf of all entries. */
  assigned: Iterable<string>;
  /** Instances whose last probe or request by this entry failed, including unassigned ones. */
  failing: Iterable<string>;
  withinMs: Milliseconds;
  /**
   * Maximum length of the digest as JSON. Engines that don't fit are left to the others' probes.
   */
  textLength: number;
}

/** The changes that result from a received digest. */
export interface HealthDigestUpdate {
  health: ReadonlyMap<string, InstanceHealth>;
  load: ReadonlyMap<string, ReplicaLoad>;
  /** Instances listed as failing that the author's previous digest did not list. */
  failing: readonly string[];
}

/** The state of this entry against which a digest is decoded. */
export interface HealthDigestContext {
  plans: Plans;
  /** Returns the health of an instance, including updates not yet written to the board. */
  readHealth(instance: string): InstanceHealth | undefined;
}

/** A digest received from a peer. */
export interface ReceivedHealthDigest {
  digest: HealthDigest;
  /** Instances that the author's previous digest listed as failing. */
  failedBefore: ReadonlySet<string>;
  /** Age of the digest, including the longest possible transit time. */
  ageMs: Milliseconds;
}

/**
 * Composes the digest of this entry, truncated to its maximum length. Failures come first.
 *
 * @example const digest = composeHealthDigest(source, clock.now());
 */
export function composeHealthDigest(source: HealthDigestSource, now: Milliseconds): HealthDigest {
  const { plans, health, withinMs } = source;
  const digest: HealthDigest = { withinMs, failing: [], placed: [], others: [] };
  let remainingLength = source.textLength - JSON.stringify(digest).length;
  const appendIfFits = <Value>(list: Value[], value: Value): void => {
    const length = JSON.stringify(value).length + 1;
    if (length > remainingLength || list.length >= MAX_LIST_LENGTH) return;
    remainingLength -= length;
    list.push(value);
  };
  for (const name of [...source.failing].sort()) appendIfFits(digest.failing, name);
  const placements = indexPlacements(plans);
  for (const name of [...source.assigned].sort()) {
    const engineHealth = health.get(name);
    if (engineHealth?.report === undefined || engineHealth.failingSince !== undefined) continue;
    if (now - engineHealth.heardAt > withinMs) continue;
    const placedEngine = toPlacedEngine(engineHealth.report, placements.get(name));
    if (placedEngine !== undefined) appendIfFits(digest.placed, placedEngine);
    else appendIfFits(digest.others, toOtherEngine(engineHealth.report));
  }
  return digest;
}

/**
 * Decodes the digest of a peer.
 *
 * A failure is applied only when the peer first lists it. Otherwise a peer that has lost its own
 * link to an engine would keep the replica out of service at every entry, even at those whose own
 * probes succeed.
 */
export function readHealthDigest(
  context: HealthDigestContext,
  { digest, failedBefore, ageMs }: ReceivedHealthDigest,
  now: Milliseconds,
): HealthDigestUpdate {
  const health = new Map<string, InstanceHealth>();
  const load = new Map<string, ReplicaLoad>();
  const placements = indexPlacements(context.plans);
  const applyReport = (report: EngineReport): void => {
    const previous = context.readHealth(report.instance);
    const next = recordRelayedReport(previous, report, ageMs, digest.withinMs, now);
    if (next !== previous) health.set(report.instance, next);
  };
  for (const other of digest.others) applyReport({ ...other, cacheSequence: 0 });
  for (const placed of digest.placed) {
    const placement = placements.get(placed.instance);
    // The peer used another version of the plan, so the report cannot be restored from this one.
    if (placement?.replica.fence !== placed.fence) continue;
    applyReport(restoreReport(placed, placement));
    if (placed.load === undefined || placement.rank !== 0) continue;
    const measuredAt = now - ageMs - digest.withinMs;
    load.set(placement.replica.id, { load: { ...placed.load, ageMs: 0 }, measuredAt });
  }
  const failing = digest.failing.filter((name) => !failedBefore.has(name));
  for (const name of failing) {
    const previous = health.get(name) ?? context.readHealth(name);
    const next = recordRelayedFailure(previous, ageMs, now);
    if (next !== previous) health.set(name, next);
  }
  return { health, load, failing };
}

function indexPlacements(plans: Plans): ReadonlyMap<string, Placement> {
  const placements = new Map<string, Placement>();
  for (const { value } of plans.values()) {
    for (const replica of value.replicas) {
      replica.members.forEach(({ instance }, rank) => placements.set(instance, { replica, rank }));
    }
  }
  return placements;
}

/** Returns undefined unless the report can be restored from the plan. */
function toPlacedEngine(
  report: EngineReport,
  placement: Placement | undefined,
): PlacedEngine | undefined {
  if (placement === undefined || report.state !== 'ready' || report.leaving) return undefined;
  const { replica, rank } = placement;
  if (report.incarnation !== replica.members[rank]?.incarnation) return undefined;
  if (!matchesPlacement(report, replica, rank) || report.fence !== replica.fence) return undefined;
  const { instance, inFlight, load, adapters } = report;
  return {
    instance,
    fence: replica.fence,
    ...(inFlight > 0 && { inFlight }),
    ...(load !== undefined && { load: roundLoad(load) }),
    ...(adapters.length > 0 && { adapters }),
  };
}

function roundLoad(load: EngineLoad): PlacedEngine['load'] {
  const { running, waiting, batchSize, prefillMsPerToken, decodeMsPerToken } = load;
  return {
    running,
    waiting,
    batchSize,
    prefillMsPerToken,
    decodeMsPerToken,
    pendingPromptTokens: roundLoadValue(load.pendingPromptTokens),
    pendingOutputTokens: roundLoadValue(load.pendingOutputTokens),
    cacheUse: roundLoadValue(load.cacheUse),
  };
}

function roundLoadValue(value: number): number {
  return Number(value.toPrecision(LOAD_SIGNIFICANT_DIGITS));
}

function toOtherEngine(report: EngineReport): HealthDigest['others'][number] {
  const { instance, incarnation, state, replica, fence, leaving, inFlight, adapters } = report;
  const other = { instance, incarnation, state, fence, leaving, inFlight, adapters };
  return replica === undefined ? other : { ...other, replica };
}

/** Restores the report of an engine in its planned placement; reverses {@link toPlacedEngine}. */
function restoreReport(placed: PlacedEngine, { replica, rank }: Placement): EngineReport {
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
