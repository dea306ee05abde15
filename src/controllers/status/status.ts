/**
 * The status shown to operators: for each configured object, what is in force, and the reason if it
 * is not.
 */
import * as z from 'zod';
import type { Attempts, Board, Configuration, Fleet, Health, Plans } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { matchesSelector } from '../../core/labels/index.js';
import { replicaPhaseSchema, type Replica } from '../../objects/index.js';
import { findIneligibility, listServiceInstances } from '../health/index.js';

const count = z.number().int().nonnegative();

export const statusSchema = z.object({
  entry: z.object({
    name: z.string(),
    incarnation: z.string(),
    failureDomain: z.string(),
    ready: z.boolean(),
    /** Why the entry is not ready. */
    reason: z.string().optional(),
  }),
  configuration: z.object({
    revision: count,
    /** Time since the platform or a peer last confirmed it; absent until first confirmed. */
    confirmedAgeMs: z.number().optional(),
    acceptance: z.enum(['accepted', 'pending']),
    /** Entries not known to have the revision in force. */
    lagging: z.array(z.object({ name: z.string(), revision: count.optional() })),
    rejected: z.array(
      z.object({ kind: z.string(), name: z.string(), version: count, reason: z.string() }),
    ),
  }),
  peers: z.array(
    z.object({
      name: z.string(),
      failureDomain: z.string(),
      revision: count,
      ready: z.boolean(),
      stopping: z.boolean(),
      ageMs: z.number(),
    }),
  ),
  models: z.array(
    z.object({
      name: z.string(),
      wanted: count,
      serving: count,
      replicas: z.array(
        z.object({
          id: z.string(),
          fabricDomain: z.string(),
          phase: replicaPhaseSchema,
          members: z.array(z.string()),
          serving: z.boolean(),
          /** Why the replica is not serving. */
          reason: z.string().optional(),
        }),
      ),
      /** Why fewer replicas are serving than wanted. */
      reason: z.string().optional(),
    }),
  ),
  services: z.array(
    z.object({
      name: z.string(),
      instances: z.array(
        z.object({
          name: z.string(),
          serving: z.boolean(),
          reason: z.string().optional(),
          inFlight: count,
        }),
      ),
      reason: z.string().optional(),
    }),
  ),
});

export type Status = z.infer<typeof statusSchema>;
type ModelStatus = Status['models'][number];
type ReplicaStatus = ModelStatus['replicas'][number];
type ServiceStatus = Status['services'][number];

/** The data from which the status of models and services is derived. */
export interface ServingView {
  configuration: Configuration;
  fleet: Fleet;
  plans: Plans;
  health: Health;
  attempts: Attempts;
  freshMs: Milliseconds;
}

/** Reads the board sections required by {@link describeModels} and {@link describeServices}. */
export function readServingView(board: Board, freshMs: Milliseconds): ServingView {
  return {
    configuration: board.configuration.read(),
    fleet: board.fleet.read(),
    plans: board.plans.read(),
    health: board.health.read(),
    attempts: board.attempts.read(),
    freshMs,
  };
}

/** Describes each model and its replicas, with the reasons why they are not serving. */
export function describeModels(view: ServingView, now: Milliseconds): ModelStatus[] {
  return [...view.configuration.models].map(([name, { value }]) => {
    const replicas = listReplicas(view, name, now);
    const serving = replicas.filter((replica) => replica.serving).length;
    const status = { name, wanted: value.replicas, serving, replicas };
    if (serving >= value.replicas) return status;
    return { ...status, reason: explainShortfall(value.replicas, replicas) };
  });
}

function listReplicas(view: ServingView, model: string, now: Milliseconds): ReplicaStatus[] {
  return [...view.plans].flatMap(([fabricDomain, { value }]) =>
    value.replicas
      .filter((replica) => replica.model === model && replica.phase !== 'released')
      .map((replica) => describeReplica(view, replica, fabricDomain, now)),
  );
}

function describeReplica(
  view: ServingView,
  replica: Replica,
  fabricDomain: string,
  now: Milliseconds,
): ReplicaStatus {
  const { id, phase } = replica;
  const members = replica.members.map((member) => member.instance);
  const ineligibility = findIneligibility(view, replica, now, view.freshMs);
  const status = { id, fabricDomain, phase, members, serving: ineligibility === undefined };
  if (ineligibility === undefined) return status;
  return { ...status, reason: explainIneligibility(ineligibility, phase) };
}

function explainIneligibility(
  ineligibility: NonNullable<ReturnType<typeof findIneligibility>>,
  phase: Replica['phase'],
): string {
  switch (ineligibility.kind) {
    case 'phase':
      return `it is ${phase}`;
    case 'unknownMember':
      return `the platform does not list ${ineligibility.member}`;
    case 'leaving':
      return `${ineligibility.member} is leaving`;
    case 'unheard':
      return `${ineligibility.member} has not been heard lately`;
    case 'failing':
      return `${ineligibility.member} is failing`;
    case 'otherIncarnation':
      return `${ineligibility.member} has been restarted`;
    case 'otherReplica':
      return `${ineligibility.member} reports another replica or fencing number`;
    case 'notReady':
      return `${ineligibility.member} is not ready`;
  }
}

function explainShortfall(wanted: number, replicas: readonly ReplicaStatus[]): string {
  const missing = wanted - replicas.length;
  const notServing = replicas.filter((replica) => !replica.serving).length;
  const parts: string[] = [];
  if (missing > 0) parts.push(`${missing} of ${wanted} replicas have no instances`);
  if (notServing > 0) parts.push(`${notServing} do not serve`);
  return parts.join(', ');
}

/** Describes each service and its instances, with the reasons why they are not serving. */
export function describeServices(view: ServingView, now: Milliseconds): ServiceStatus[] {
  return [...view.configuration.services].map(([name, { value }]) => {
    const serving = listServiceInstances(view, value, now, view.freshMs).map((c) => c.instance);
    const matching = [...view.fleet.instances].filter(
      ([, { role, labels }]) => role === 'service' && matchesSelector(value.selector, labels),
    );
    const instances = matching.map(([instance]) =>
      describeInstance(view, instance, serving.includes(instance)),
    );
    if (serving.length > 0) return { name, instances };
    const reason = matching.length === 0 ? 'no instance matches the selector' : 'none serves';
    return { name, instances, reason };
  });
}

function describeInstance(
  { fleet, attempts }: ServingView,
  name: string,
  serving: boolean,
): ServiceStatus['instances'][number] {
  const inFlight = attempts.inFlight.get(name) ?? 0;
  if (serving) return { name, serving, inFlight };
  const reason = fleet.leaving.has(name) ? 'it is leaving' : 'it has just failed';
  return { name, serving, reason, inFlight };
}
