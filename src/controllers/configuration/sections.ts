/**
 * Builds the sections of the board from the object state.
 */
import type { Configuration, RejectedObject, Versioned } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import {
  modelSchema,
  instanceSchema,
  policySchema,
  serviceSchema,
  workspaceSchema,
  type Instance,
} from '../../objects/index.js';
import { objectKey, POLICY_NAME } from './merge.js';
import type { WatchedKind, ObjectState } from './types.js';

/** The platform's list of instances at a revision. */
export interface InstanceList {
  revision: number;
  instances: ReadonlyMap<string, Versioned<Instance>>;
}

interface Parser<Value> {
  parse(value: unknown): Value;
}

/** Builds the `configuration` section from `state`. */
export function composeConfiguration(state: ObjectState, confirmedAt: Milliseconds): Configuration {
  return {
    revision: state.revision,
    models: collectValues(state, 'model', modelSchema),
    services: collectValues(state, 'service', serviceSchema),
    workspaces: collectValues(state, 'workspace', workspaceSchema),
    policy: resolvePolicy(state),
    rejected: listRejected(state),
    confirmedAt,
  };
}

/** Builds the platform's list of instances from `state`. */
export function composeInstances(state: ObjectState): InstanceList {
  return {
    revision: state.revision,
    instances: collectValues(state, 'instance', instanceSchema),
  };
}

function collectValues<Value>(
  state: ObjectState,
  kind: WatchedKind,
  parser: Parser<Value>,
): Map<string, Versioned<Value>> {
  const values = new Map<string, Versioned<Value>>();
  for (const { valid } of state.records.values()) {
    if (valid?.kind !== kind || valid.deleted) continue;
    values.set(valid.name, { version: valid.version, value: parser.parse(valid.value) });
  }
  return values;
}

function resolvePolicy(state: ObjectState): Configuration['policy'] {
  const valid = state.records.get(objectKey('policy', POLICY_NAME))?.valid;
  return policySchema.parse(valid === undefined || valid.deleted ? {} : valid.value);
}

function listRejected(state: ObjectState): RejectedObject[] {
  const rejected: RejectedObject[] = [];
  for (const { newest, rejection } of state.records.values()) {
    if (rejection === undefined) continue;
    rejected.push({
      kind: newest.kind,
      name: newest.name,
      version: newest.version,
      reason: rejection,
    });
  }
  return rejected;
}
