/**
 * Input and output types of the planner.
 */
import type { InstanceHealth } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { DomainPlan, Instance, Model, Policy } from '../../objects/index.js';

/** One engine instance of the fabric domain. */
export interface DomainMember {
  name: string;
  instance: Instance;
  /** Accepts no new work, according to the platform, the instance itself or a peer. */
  leaving: boolean;
  health: InstanceHealth | undefined;
}

/** A class of instance losses with exponentially distributed duration. */
export interface LossClass {
  /** Fraction of all losses. */
  share: number;
  meanMs: Milliseconds;
  /** The same process returns, as after a pause or a network partition; its replica stays formed. */
  keepsState: boolean;
}

/** Durations and probabilities that the planner assumes for one instance or replica. */
export interface Estimates {
  /** From the form order until the replica serves. */
  formMs: Milliseconds;
  /** From the release order until the instance confirms it. */
  releaseMs: Milliseconds;
  /** Timeout after which an instance that is not heard from counts as lost. */
  lossMs: Milliseconds;
  /** Possible classes of a loss; the shares add up to 1. */
  lossClasses: readonly LossClass[];
  meanTimeBetweenLossesMs: Milliseconds;
  /** Half-life of an instance's loss score. */
  flapHalfLifeMs: Milliseconds;
}

/** Loss history of one instance. */
export interface LossRecord {
  /** Number of losses, decayed with `flapHalfLifeMs`. */
  score: number;
  updatedAt: Milliseconds;
  /** Whether it is currently lost; prevents counting a loss twice. */
  lost: boolean;
  /** The last known incarnation. */
  incarnation?: string;
}

/** By instance name; kept in memory by the owner of the domain. */
export type LossHistory = ReadonlyMap<string, LossRecord>;

/** Input for planning one domain. */
export interface DomainInput {
  domain: string;
  plan: DomainPlan;
  members: ReadonlyMap<string, DomainMember>;
  models: ReadonlyMap<string, Model>;
  /** Desired replicas of each model in this domain; none for models not listed. */
  wanted: ReadonlyMap<string, number>;
  /** Draining replicas without requests in flight at any entry or engine. */
  drained: ReadonlySet<string>;
  objective: Policy['objective'];
  estimates: Estimates;
  history: LossHistory;
  /** Start of uninterrupted observation by this entry; earlier time does not count as absence. */
  watchingSince: Milliseconds;
}

/** Why a replica is retired. */
export type RetireCause =
  | { kind: 'modelGone' }
  | { kind: 'modelChanged' }
  | { kind: 'memberLeaving'; member: string }
  | { kind: 'memberRestarted'; member: string }
  | { kind: 'memberGone'; member: string }
  | { kind: 'memberMoved'; member: string }
  /** Replacing a lost member costs less than waiting for it. */
  | { kind: 'memberReplaced'; member: string; cost: number }
  /** Its members are used for a replica of the model `beneficiary`. */
  | { kind: 'preempted'; beneficiary: string }
  | { kind: 'surplus' };

/** Reason for a planning decision, for logs and tests. */
export type PlanReason =
  | { kind: 'formed'; replica: string; model: string }
  | { kind: 'advanced'; replica: string; phase: 'loading' | 'whole' | 'released' }
  | { kind: 'retired'; replica: string; cause: RetireCause }
  | { kind: 'freed'; replica: string; members: readonly string[] }
  /** An instance reports a replica although the plan assigns it none; it is released. */
  | { kind: 'strayFound'; replica: string; member: string }
  /** A member is lost and the planner waits for its return. */
  | { kind: 'waiting'; replica: string; member: string }
  /** No instance of the domain is reachable; the plan is left unchanged. */
  | { kind: 'unreachable' };

/** The next plan; `changed` is false if it equals the previous one. */
export interface PlanDecision {
  plan: DomainPlan;
  changed: boolean;
  reasons: readonly PlanReason[];
}
