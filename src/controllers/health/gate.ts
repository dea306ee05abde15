/**
 * The serving gate: which replicas may be sent requests at this moment.
 *
 * A replica serves only as a whole. It is listed when its plan says `whole` and every member is
 * known to the platform, stays, was heard of lately, has failed nothing since, and itself reports
 * the same replica, fencing number, rank and incarnation as the plan. A member that died and came
 * back reports another incarnation; a member that an old order moved reports another replica or
 * number. Either takes the whole replica out of service without any message between entries.
 */
import type { EngineReport } from '../../adapters/engines/protocol.js';
import type { Fleet, Health, InstanceHealth, Load, Plans } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector } from '../../core/labels/index.js';
import type { Replica, Service } from '../../objects/index.js';
import type { Candidate, InstanceCandidate } from '../routing/types.js';

/** The sections of the board that the gate reads. */
export interface EligibilityView {
  plans: Plans;
  fleet: Fleet;
  health: Health;
  load: Load;
}

/** One replica that may serve, until the first of its members has been unheard for too long. */
interface OpenReplica {
  candidate: Candidate;
  until: Milliseconds;
}

/** Why a replica may not serve; `member` is the first instance that speaks against it. */
export type Obstacle =
  | { kind: 'phase' }
  | { kind: 'unknownMember'; member: string }
  | { kind: 'leaving'; member: string }
  | { kind: 'unheard'; member: string }
  | { kind: 'failing'; member: string }
  | { kind: 'otherIncarnation'; member: string }
  | { kind: 'otherReplica'; member: string }
  | { kind: 'notReady'; member: string };

/** What may serve, by model, and how long that holds if no section changes. */
export interface EligibleIndex {
  byModel: ReadonlyMap<string, readonly Candidate[]>;
  /** From then on a member may have been unheard for too long: make the index again. */
  validUntil: Milliseconds;
}

/**
 * All replicas that may be sent requests now.
 *
 * @example listEligibleReplicas(view, clock.now(), 2_000).filter(({ model }) => model === name)
 */
export function listEligibleReplicas(
  view: EligibilityView,
  now: Milliseconds,
  freshMs: Milliseconds,
): Candidate[] {
  return listOpenReplicas(view, now, freshMs).map(({ candidate }) => candidate);
}

/** The same, ordered by model, with the time until which it holds. */
export function indexEligibleReplicas(
  view: EligibilityView,
  now: Milliseconds,
  freshMs: Milliseconds,
): EligibleIndex {
  const byModel = new Map<string, Candidate[]>();
  let validUntil = Number.POSITIVE_INFINITY;
  for (const { candidate, until } of listOpenReplicas(view, now, freshMs)) {
    const candidates = byModel.get(candidate.model);
    if (candidates === undefined) byModel.set(candidate.model, [candidate]);
    else candidates.push(candidate);
    validUntil = Math.min(validUntil, until);
  }
  return { byModel, validUntil };
}

/** What speaks against sending requests to `replica`; undefined when it may serve. */
export function findObstacle(
  view: Pick<EligibilityView, 'fleet' | 'health'>,
  replica: Replica,
  now: Milliseconds,
  freshMs: Milliseconds,
): Obstacle | undefined {
  if (replica.phase !== 'whole' || replica.members.length === 0) return { kind: 'phase' };
  for (let rank = 0; rank < replica.members.length; rank += 1) {
    const obstacle = findMemberObstacle(view, replica, rank, now, freshMs);
    if (obstacle !== undefined) return obstacle;
  }
  return undefined;
}

/**
 * The instances of plain services that may be sent calls. One that failed is left alone for
 * `freshMs` and then tried again, since nothing probes it.
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

/** Whether `name` gets no new work: the platform's list, its own word or a peer's says so. */
export function isLeaving(fleet: Fleet, name: string): boolean {
  return fleet.leaving.has(name) || fleet.instances.get(name)?.state === 'leaving';
}

function listOpenReplicas(
  view: EligibilityView,
  now: Milliseconds,
  freshMs: Milliseconds,
): OpenReplica[] {
  const open: OpenReplica[] = [];
  for (const { value } of view.plans.values()) {
    for (const replica of value.replicas) {
      if (findObstacle(view, replica, now, freshMs) !== undefined) continue;
      const candidate = describeCandidate(view, replica);
      if (candidate === undefined) continue;
      open.push({ candidate, until: findOldestReport(view.health, replica) + freshMs });
    }
  }
  return open;
}

function findMemberObstacle(
  view: Pick<EligibilityView, 'fleet' | 'health'>,
  replica: Replica,
  rank: number,
  now: Milliseconds,
  freshMs: Milliseconds,
): Obstacle | undefined {
  const planned = replica.members[rank];
  if (planned === undefined) return { kind: 'phase' };
  const member = planned.instance;
  if (!view.fleet.instances.has(member)) return { kind: 'unknownMember', member };
  if (isLeaving(view.fleet, member)) return { kind: 'leaving', member };
  const health = view.health.get(member);
  if (!isHeard(health, now, freshMs)) return { kind: 'unheard', member };
  if (health.failingSince !== undefined) return { kind: 'failing', member };
  const { report } = health;
  if (report.leaving) return { kind: 'leaving', member };
  if (report.incarnation !== planned.incarnation) return { kind: 'otherIncarnation', member };
  if (!reportsPlace(report, replica, rank)) return { kind: 'otherReplica', member };
  if (report.state !== 'ready') return { kind: 'notReady', member };
  return undefined;
}

function isHeard(
  health: InstanceHealth | undefined,
  now: Milliseconds,
  freshMs: Milliseconds,
): health is InstanceHealth & { report: EngineReport } {
  return health?.report !== undefined && now - health.heardAt < freshMs;
}

/** Whether the engine says that it holds this rank of this replica under the plan's number. */
export function reportsPlace(report: EngineReport, replica: Replica, rank: number): boolean {
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

function findOldestReport(health: Health, replica: Replica): Milliseconds {
  const instants = replica.members.map(({ instance }) => health.get(instance)?.heardAt ?? 0);
  return Math.min(...instants);
}
