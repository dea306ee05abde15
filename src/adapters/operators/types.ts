/**
 * What the operators' listener asks of the entry behind it.
 */
import type { ResultAsync } from 'neverthrow';
import type { Acceptance } from '../../controllers/configuration/index.js';
import type { DrainEvaluation } from '../../controllers/drains/index.js';
import type { Status } from '../../controllers/status/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { SettingsFault } from '../../core/settings/issues.js';
import type { ConfigurationKind, ObjectKind, StoredObject } from '../../objects/index.js';
import type { ObjectList } from '../platform/index.js';

/** Why an operator's request was not carried out. */
export interface Refusal {
  failure: Failure;
  /** Of an invalid object: every fault found. */
  faults?: readonly SettingsFault[];
  /** Of a conflict: the version that won. */
  current?: StoredObject;
}

/** A change as an operator asks for it. */
export interface ObjectChange {
  kind: ConfigurationKind;
  name: string;
  value: unknown;
  /** The version that the change is based on; absent: whatever is current when it arrives. */
  expected?: number;
  deleted: boolean;
}

export type LabelledKind = 'model' | 'service' | 'workspace' | 'instance';

export interface LabelChange {
  kind: LabelledKind;
  name: string;
  /** By key; null removes the label. */
  labels: Readonly<Record<string, string | null>>;
  expected?: number;
}

/** A change that the platform has taken. */
export interface AppliedChange {
  object: StoredObject;
  /** What is odd about it now but was not refused. */
  warnings: readonly SettingsFault[];
}

/** One target that is being drained. */
export interface DrainStatus {
  target: string;
  kind: 'instance' | 'replica';
  judgement: DrainEvaluation;
}

export interface Operations {
  list(kind: ObjectKind): ResultAsync<ObjectList, Refusal>;
  read(kind: ObjectKind, name: string): ResultAsync<StoredObject, Refusal>;
  apply(change: ObjectChange): ResultAsync<AppliedChange, Refusal>;
  label(change: LabelChange): ResultAsync<AppliedChange, Refusal>;
  /** Marks an instance as leaving in the platform's list. */
  drain(instance: string): ResultAsync<AppliedChange, Refusal>;
  /** Judged until it is accepted or `waitMs` have passed. */
  acceptance(revision: number, waitMs: Milliseconds, signal: AbortSignal): Promise<Acceptance>;
  drains(): DrainStatus[];
  status(): Status;
  /** Why callers are to go elsewhere; undefined while they are welcome. */
  readiness(): Failure<'notReady' | 'stopping'> | undefined;
  /** Metrics in the Prometheus text format. */
  metrics(): Promise<string>;
}
