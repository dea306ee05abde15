/**
 * The messages of the planner: what one fabric domain looks like, and why its plan changes.
 */
import type { InstanceHealth } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { DomainPlan, Instance, Model, Policy } from '../../objects/index.js';

/** One engine instance of the fabric domain. */
export interface DomainMember {
  name: string;
  instance: Instance;
  /** Gets no new work: the platform, it itself or a peer says so. */
  leaving: boolean;
  health: InstanceHealth | undefined;
}

/** One kind of loss. Its length is taken to be exponentially distributed. */
export interface LossClass {
  /** Share of all losses. */
  share: number;
  meanMs: Milliseconds;
  /** The same process comes back, as after a pause or a cut link; its replica need not be formed. */
  keepsState: boolean;
}

/** What the planner expects of time and chance. All in milliseconds of one instance or replica. */
export interface Estimates {
  /** From the order to form a replica until it serves. */
  formMs: Milliseconds;
  /** From the order to release an instance until it confirms. */
  releaseMs: Milliseconds;
  /** An instance must have been unheard for this long before it counts as lost. */
  lossMs: Milliseconds;
  /** What a loss may turn out to be; the shares add up to 1. */
  lossClasses: readonly LossClass[];
  /** Mean time between two losses of one instance. */
  lossEveryMs: Milliseconds;
  /** Time in which the count of an instance's losses decays by half. */
  flapHalfLifeMs: Milliseconds;
}

/** What is remembered of one instance's losses. */
export interface LossRecord {
  /** Losses, each counting half after every half-life. */
  score: number;
  /** When `score` was last brought up to date. */
  at: Milliseconds;
  /** Whether it is lost now, so that one loss counts once. */
  lost: boolean;
  /** The last known start of the instance. */
  incarnation?: string;
}

/** By instance name; kept by the domain's owner in memory. */
export type LossHistory = ReadonlyMap<string, LossRecord>;

/** What the plan of a domain is made from. */
export interface DomainInput {
  domain: string;
  plan: DomainPlan;
  members: ReadonlyMap<string, DomainMember>;
  models: ReadonlyMap<string, Model>;
  /** This domain's share of each model's replicas; a model that is absent gets none. */
  wanted: ReadonlyMap<string, number>;
  /** Draining replicas that no entry and no engine has a request in flight for. */
  drained: ReadonlySet<string>;
  objective: Policy['objective'];
  estimates: Estimates;
  history: LossHistory;
  /** Since when this entry has been watching without a gap; nothing older counts as absence. */
  watchingSince: Milliseconds;
}

/** Why a replica is taken apart. */
export type RetireCause =
  | { kind: 'modelGone' }
  | { kind: 'modelChanged' }
  | { kind: 'memberLeaving'; member: string }
  | { kind: 'memberRestarted'; member: string }
  | { kind: 'memberGone'; member: string }
  | { kind: 'memberMoved'; member: string }
  /** A lost member is replaced at once, which costs least. */
  | { kind: 'memberReplaced'; member: string; cost: number }
  /** Its members repair `beneficiary`. */
  | { kind: 'preempted'; beneficiary: string }
  | { kind: 'surplus' };

/** One reason for a change of the plan, for logs and tests. */
export type PlanReason =
  | { kind: 'formed'; replica: string; model: string }
  | { kind: 'advanced'; replica: string; phase: 'loading' | 'whole' | 'released' }
  | { kind: 'retired'; replica: string; cause: RetireCause }
  | { kind: 'freed'; replica: string; members: readonly string[] }
  /** An instance outside the plan says that it is in a replica; it is told to leave it. */
  | { kind: 'strayFound'; replica: string; member: string }
  /** A member is lost and waiting for it is cheapest. */
  | { kind: 'waiting'; replica: string; member: string }
  /** No instance of the domain is heard: nothing is decided from silence. */
  | { kind: 'dark' };

/** The next plan; `changed` is false when it equals the one before. */
export interface PlanDecision {
  plan: DomainPlan;
  changed: boolean;
  reasons: readonly PlanReason[];
}
