/**
 * Validates an object before it is written: first against the schema of its kind, then for conflicts
 * with other objects. Each fault contains the key, the value and a fix.
 *
 * A mismatch with the current instances is only a warning, because instances come and go.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Configuration, Fleet } from '../../board/index.js';
import { matchesSelector, type Selector } from '../../core/labels/index.js';
import { describeIssues, type SettingsFault } from '../../core/settings/issues.js';
import {
  modelSchema,
  OBJECT_SCHEMAS,
  serviceSchema,
  workspaceSchema,
  type ConfigurationKind,
  type Instance,
  type Model,
  type Workspace,
} from '../../objects/index.js';
import { POLICY_NAME } from './merge.js';

/** An object that is to be written. */
export interface ProposedObject {
  kind: ConfigurationKind;
  name: string;
  value: unknown;
}

/** The configuration and fleet against which an object is validated. */
export interface ValidationContext {
  configuration: Configuration;
  fleet: Fleet;
}

/** An object that passed validation. */
export interface ValidObject {
  /** The value with the schema's defaults applied. */
  value: unknown;
  warnings: readonly SettingsFault[];
}

/**
 * Returns the value to write with its warnings, or all faults.
 *
 * @example validateObject({ kind: 'model', name: 'pass-assistant', value }, board).isErr()
 */
export function validateObject(
  proposed: ProposedObject,
  context: ValidationContext,
): Result<ValidObject, readonly SettingsFault[]> {
  const parsed = OBJECT_SCHEMAS[proposed.kind].safeParse(proposed.value);
  if (!parsed.success) return err(describeIssues(parsed.error, proposed.value));
  const faults = listFaults({ ...proposed, value: parsed.data }, context);
  if (faults.length > 0) return err(faults);
  return ok({
    value: parsed.data,
    warnings: listWarnings({ ...proposed, value: parsed.data }, context),
  });
}

function listFaults(proposed: ProposedObject, context: ValidationContext): SettingsFault[] {
  const { configuration } = context;
  switch (proposed.kind) {
    case 'model':
      return checkNameConflict(proposed.name, 'service', configuration.services);
    case 'service':
      return checkNameConflict(proposed.name, 'model', configuration.models);
    case 'workspace':
      return checkKeyConflicts(proposed.name, workspaceSchema.parse(proposed.value), configuration);
    case 'policy':
      return checkPolicyName(proposed.name);
  }
}

function checkNameConflict(
  name: string,
  otherKind: string,
  others: ReadonlyMap<string, unknown>,
): SettingsFault[] {
  if (!others.has(name)) return [];
  return [
    {
      key: 'name',
      value: name,
      fix: `choose another name: a ${otherKind} with this name already exists`,
    },
  ];
}

function checkPolicyName(name: string): SettingsFault[] {
  if (name === POLICY_NAME) return [];
  return [{ key: 'name', value: name, fix: `there is one policy, named "${POLICY_NAME}"` }];
}

/** Requests with a key shared by two workspaces couldn't be assigned to one of them. */
function checkKeyConflicts(
  name: string,
  workspace: Workspace,
  { workspaces }: Configuration,
): SettingsFault[] {
  const owners = new Map<string, string>();
  for (const [other, { value }] of workspaces) {
    if (other !== name) for (const hash of value.keyHashes) owners.set(hash, other);
  }
  return workspace.keyHashes.flatMap((hash, index) => {
    const owner = owners.get(hash);
    owners.set(hash, name);
    if (owner === undefined) return [];
    const fix = `remove it: workspace "${owner}" already has this key`;
    return [{ key: `keyHashes.${index}`, value: hash, fix }];
  });
}

function listWarnings(proposed: ProposedObject, { fleet }: ValidationContext): SettingsFault[] {
  switch (proposed.kind) {
    case 'model':
      return checkModelCapacity(modelSchema.parse(proposed.value), fleet);
    case 'service':
      return checkSelectorMatches(serviceSchema.parse(proposed.value).selector, 'service', fleet);
    case 'workspace':
    case 'policy':
      return [];
  }
}

function checkSelectorMatches(
  selector: Selector,
  role: Instance['role'],
  fleet: Fleet,
): SettingsFault[] {
  if (listMatching(selector, role, fleet).length > 0) return [];
  return [
    {
      key: 'selector',
      value: JSON.stringify(selector),
      fix: `no ${role} instance currently matches it`,
    },
  ];
}

function checkModelCapacity(model: Model, fleet: Fleet): SettingsFault[] {
  const possibleReplicas = countPossibleReplicas(model, fleet);
  if (possibleReplicas >= model.replicas) return [];
  const fix = `the fabric domains currently have capacity for ${possibleReplicas} replicas of size ${model.replicaSize}`;
  return [{ key: 'replicas', value: String(model.replicas), fix }];
}

/** A replica can't span fabric domains, so leftover instances in each of them aren't usable. */
function countPossibleReplicas({ selector, replicaSize }: Model, fleet: Fleet): number {
  const instanceCounts = new Map<string, number>();
  for (const { fabricDomain = '' } of listMatching(selector, 'engine', fleet)) {
    instanceCounts.set(fabricDomain, (instanceCounts.get(fabricDomain) ?? 0) + 1);
  }
  return [...instanceCounts.values()].reduce(
    (sum, count) => sum + Math.floor(count / replicaSize),
    0,
  );
}

function listMatching(selector: Selector, role: Instance['role'], fleet: Fleet): Instance[] {
  return [...fleet.instances.values()].filter(
    (instance) => instance.role === role && matchesSelector(selector, instance.labels),
  );
}
