/**
 * Decides which replicas are eligible to be sent requests.
 *
 * A replica is eligible only if all of its members are: its phase in the plan is `whole`, and every
 * member is listed by the platform, is not leaving or failing, has a recent report, and reports the
 * same replica, fencing token, rank and incarnation as the plan. A restarted member reports
 * another incarnation, and a member moved by an outdated order reports another replica or fencing
 * number. Each entry can thus take the replica out of service without coordinating with the others.
 */
import type { EngineReport } from '../../adapters/engines/protocol.js';
import type { Fleet, Health, InstanceHealth, Load, Plans } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector } from '../../core/labels/index.js';
import type { Replica, Service } from '../../objects/index.js';
import type { Candidate, InstanceCandidate } from '../routing/types.js';

/** The board sections that determine eligibility. */
export interface EligibilityView {
  plans: Plans;
  fleet: Fleet;
  health: Health;
  load: Load;
}

/** An eligible replica and the time at which the oldest report of its members expires. */
interface ExpiringCandidate {
  candidate: Candidate;
  validUntil: Milliseconds;
}

/** Why a replica is not eligible; `member` is the first instance to which the reason applies. */
export type Ineligibility =
  | { kind: 'phase' }
  | { kind: 'unknownMember'; member: string }
  | { kind: 'leaving'; member: string }
  | { kind: 'unheard'; member: string }
  | { kind: 'failing'; member: string }
  | { kind: 'otherIncarnation'; member: string }
  | { kind: 'otherReplica'; member: string }
  | { kind: 'notReady'; member: string };

/** The eligible replicas by model. */
export interface EligibleIndex {
  byModel: ReadonlyMap<string, readonly Candidate[]>;
  /** When the index has to be rebuilt, because a member's report may have expired. */
  validUntil: Milliseconds;
}

/**
 * Lists all replicas that may be sent requests at `now`.
 *
 * @example listEligibleReplicas(view, clock.now(), 2_000).filter(({ model }) => model === name)
 */
export function listEligibleReplicas(
  view: EligibilityView,
  now: Milliseconds,
  freshMs: Milliseconds,
): Candidate[] {
  return listExpiringCandidates(view, now, freshMs).map(({ candidate }) => candidate);
}

/** Builds the index of {@link listEligibleReplicas} by model, with its expiry. */
export function indexEligibleReplicas(
  view: EligibilityView,
  now: Milliseconds,
  freshMs: Milliseconds,
): EligibleIndex {
  const byModel = new Map<string, Candidate[]>();
  let validUntil = Number.POSITIVE_INFINITY;
  for (const { candidate, validUntil: until } of listExpiringCandidates(view, now, freshMs)) {
    const candidates = byModel.get(candidate.model);
    if (candidates === undefined) byModel.set(candidate.model, [candidate]);
    else candidates.push(candidate);
    validUntil = Math.min(validUntil, until);
  }
  return { byModel, validUntil };
}

/** Returns why `replica` may not be sent requests; undefined if it is eligible. */
export function findIneligibility(
  view: Pick<EligibilityView, 'fleet' | 'health'>,
  replica: Replica,
  now: Milliseconds,
  freshMs: Milliseconds,
): Ineligibility | undefined {
  if (replica.phase !== 'whole' || replica.members.length === 0) return { kind: 'phase' };
  for (let rank = 0; rank < replica.members.length; rank += 1) {
    const ineligibility = findMemberIneligibility(view, replica, rank, now, freshMs);
    if (ineligibility !== undefined) return ineligibility;
  }
  return undefined;
}

/**
 * Lists the instances of a plain service that may be sent calls. Since service instances are not
 * probed, one that failed is excluded for `freshMs` and then retried.
 */
export function listServiceInstances(
  view: Pick<EligibilityView, 'fleet' | 'health'>,
  service: Service,
  now: Milliseconds,
  freshMs: Milliseconds,
): InstanceCandidate[] {
  const candidates: InstanceCandidate[] = [];
  for (const [name, instance] of view.fleet.instances) {
    if (instance.role !== 'service' || isLeaving(view.fleet, name)) continue;
    if (!matchesSelector(service.selector, instance.labels)) continue;
    const failedAt = view.health.get(name)?.failedAt;
    if (failedAt !== undefined && now - failedAt < freshMs) continue;
    const { address, region, failureDomain } = instance;
    candidates.push({ instance: name, address, location: { region, failureDomain } });
  }
  return candidates;
}

/** Whether `name` is leaving, by the platform's list, its own report or a peer's mark. */
export function isLeaving(fleet: Fleet, name: string): boolean {
  return fleet.leaving.has(name) || fleet.instances.get(name)?.state === 'leaving';
}

function listExpiringCandidates(
  view: EligibilityView,
  now: Milliseconds,
  freshMs: Milliseconds,
): ExpiringCandidate[] {
  const candidates: ExpiringCandidate[] = [];
  for (const { value } of view.plans.values()) {
    for (const replica of value.replicas) {
      if (findIneligibility(view, replica, now, freshMs) !== undefined) continue;
      const candidate = describeCandidate(view, replica);
      if (candidate === undefined) continue;
      candidates.push({
        candidate,
        validUntil: findOldestReportTime(view.health, replica) + freshMs,
      });
    }
  }
  return candidates;
}

function findMemberIneligibility(
  view: Pick<EligibilityView, 'fleet' | 'health'>,
  replica: Replica,
  rank: number,
  now: Milliseconds,
  freshMs: Milliseconds,
): Ineligibility | undefined {
  const plannedMember = replica.members[rank];
  if (plannedMember === undefined) return { kind: 'phase' };
  const member = plannedMember.instance;
  if (!view.fleet.instances.has(member)) return { kind: 'unknownMember', member };
  if (isLeaving(view.fleet, member)) return { kind: 'leaving', member };
  const health = view.health.get(member);
  if (!hasFreshReport(health, now, freshMs)) return { kind: 'unheard', member };
  if (health.failingSince !== undefined) return { kind: 'failing', member };
  const { report } = health;
  if (report.leaving) return { kind: 'leaving', member };
  if (report.incarnation !== plannedMember.incarnation) return { kind: 'otherIncarnation', member };
  if (!matchesPlacement(report, replica, rank)) return { kind: 'otherReplica', member };
  if (report.state !== 'ready') return { kind: 'notReady', member };
  return undefined;
}

function hasFreshReport(
  health: InstanceHealth | undefined,
  now: Milliseconds,
  freshMs: Milliseconds,
): health is InstanceHealth & { report: EngineReport } {
  return health?.report !== undefined && now - health.heardAt < freshMs;
}

/** Whether the engine reports the replica, rank, size and fencing token that the plan assigns. */
export function matchesPlacement(report: EngineReport, replica: Replica, rank: number): boolean {
  const held = report.replica;
  if (held?.id !== replica.id) return false;
  return held.fence === replica.fence && held.rank === rank && held.size === replica.members.length;
}

function describeCandidate(view: EligibilityView, replica: Replica): Candidate | undefined {
  const leader = replica.members[0]?.instance;
  const instance = leader === undefined ? undefined : view.fleet.instances.get(leader);
  if (leader === undefined || instance === undefined) return undefined;
  return {
    replica: replica.id,
    model: replica.model,
    fence: replica.fence,
    leader,
    address: instance.address,
    members: replica.members.map((member) => member.instance),
    location: { region: instance.region, failureDomain: instance.failureDomain },
    load: view.load.get(replica.id),
  };
}

function findOldestReportTime(health: Health, replica: Replica): Milliseconds {
  const reportTimes = replica.members.map(({ instance }) => health.get(instance)?.heardAt ?? 0);
  return Math.min(...reportTimes);
}
