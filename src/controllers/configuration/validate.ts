/**
 * Checks of what an operator proposes, before it is written: the kind's schema, then what an
 * object must not have in common with the others. Each fault names key, value and fix.
 *
 * Warnings don't refuse: instances come and go, so what can't be served now may be wanted soon.
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

/** An object that somebody wants to write. */
export interface ProposedObject {
  kind: ConfigurationKind;
  name: string;
  value: unknown;
}

/** What the proposal is checked against. */
export interface ValidationView {
  configuration: Configuration;
  fleet: Fleet;
}

/** A proposal that may be written. */
export interface ValidObject {
  /** With the schema's defaults filled in. */
  value: unknown;
  warnings: readonly SettingsFault[];
}

/**
 * The value to write, or every fault found.
 *
 * @example validateObject({ kind: 'model', name: 'pass-assistant', value }, board).isErr()
 */
export function validateObject(
  proposed: ProposedObject,
  view: ValidationView,
): Result<ValidObject, readonly SettingsFault[]> {
  const parsed = OBJECT_SCHEMAS[proposed.kind].safeParse(proposed.value);
  if (!parsed.success) return err(describeIssues(parsed.error, proposed.value));
  const faults = listFaults({ ...proposed, value: parsed.data }, view);
  if (faults.length > 0) return err(faults);
  return ok({
    value: parsed.data,
    warnings: listWarnings({ ...proposed, value: parsed.data }, view),
  });
}

function listFaults(proposed: ProposedObject, view: ValidationView): SettingsFault[] {
  const { configuration } = view;
  switch (proposed.kind) {
    case 'model':
      return checkNameFree(proposed.name, 'service', configuration.services);
    case 'service':
      return checkNameFree(proposed.name, 'model', configuration.models);
    case 'workspace':
      return checkKeys(proposed.name, workspaceSchema.parse(proposed.value), configuration);
    case 'policy':
      return checkPolicyName(proposed.name);
  }
}

function checkNameFree(
  name: string,
  otherKind: string,
  others: ReadonlyMap<string, unknown>,
): SettingsFault[] {
  if (!others.has(name)) return [];
  return [{ key: 'name', value: name, fix: `choose another name: there is a ${otherKind} of it` }];
}

function checkPolicyName(name: string): SettingsFault[] {
  if (name === POLICY_NAME) return [];
  return [{ key: 'name', value: name, fix: `there is one policy, named "${POLICY_NAME}"` }];
}

/** A key that two workspaces share would make it a matter of chance who is charged for a request. */
function checkKeys(
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
    const fix = `remove it: workspace "${owner}" has this key already`;
    return [{ key: `keyHashes.${index}`, value: hash, fix }];
  });
}

function listWarnings(proposed: ProposedObject, { fleet }: ValidationView): SettingsFault[] {
  switch (proposed.kind) {
    case 'model':
      return warnOfModel(modelSchema.parse(proposed.value), fleet);
    case 'service':
      return warnOfSelector(serviceSchema.parse(proposed.value).selector, 'service', fleet);
    case 'workspace':
    case 'policy':
      return [];
  }
}

function warnOfSelector(selector: Selector, role: Instance['role'], fleet: Fleet): SettingsFault[] {
  if (listMatching(selector, role, fleet).length > 0) return [];
  return [
    { key: 'selector', value: JSON.stringify(selector), fix: `no ${role} instance matches it now` },
  ];
}

function warnOfModel(model: Model, fleet: Fleet): SettingsFault[] {
  const possible = countPossibleReplicas(model, fleet);
  if (possible >= model.replicas) return [];
  const fix = `the fabric domains now have room for ${possible} replicas of ${model.replicaSize}`;
  return [{ key: 'replicas', value: String(model.replicas), fix }];
}

/** A replica may not span fabric domains, so what is left over in each of them counts for nothing. */
function countPossibleReplicas({ selector, replicaSize }: Model, fleet: Fleet): number {
  const sizes = new Map<string, number>();
  for (const { fabricDomain = '' } of listMatching(selector, 'engine', fleet)) {
    sizes.set(fabricDomain, (sizes.get(fabricDomain) ?? 0) + 1);
  }
  return [...sizes.values()].reduce((sum, size) => sum + Math.floor(size / replicaSize), 0);
}

function listMatching(selector: Selector, role: Instance['role'], fleet: Fleet): Instance[] {
  return [...fleet.instances.values()].filter(
    (instance) => instance.role === role && matchesSelector(selector, instance.labels),
  );
}
