/**
 * Files of objects: TOML with an array of tables for each kind, checked before anything is sent.
 *
 *     [[model]]
 *     name = "pass-assistant"
 *     replicas = 4
 */
import { err, ok, type Result, type ResultAsync } from 'neverthrow';
import * as z from 'zod';
import { POLICY_NAME } from '../controllers/configuration/index.js';
import {
  describeIssues,
  parseTomlFile,
  readSettingsFile,
  toFailures,
  type SettingsFailures,
  type SettingsFault,
} from '../core/settings/index.js';
import {
  CONFIGURATION_KINDS,
  configurationKindSchema,
  nameSchema,
  OBJECT_SCHEMAS,
  type ConfigurationKind,
} from '../objects/index.js';

/** One object as written by an operator, valid for its kind. */
export interface ObjectEntry {
  kind: ConfigurationKind;
  name: string;
  value: unknown;
}

const KINDS_FIX = `use one of [[${CONFIGURATION_KINDS.join(']], [[')}]]`;
const namedTableSchema = z.looseObject({ name: nameSchema });

/** The objects in `file`, or every fault found in it. */
export function loadObjectFile(file: string): ResultAsync<ObjectEntry[], SettingsFailures> {
  return readSettingsFile(file)
    .andThen((text) => parseTomlFile(file, text))
    .andThen((document) => readObjects(file, document));
}

function readObjects(
  file: string,
  document: Record<string, unknown>,
): Result<ObjectEntry[], SettingsFailures> {
  const objects: ObjectEntry[] = [];
  const faults: SettingsFault[] = [];
  for (const [kind, tables] of Object.entries(document)) {
    readKind(kind, tables, objects, faults);
  }
  faults.push(...findDuplicates(objects));
  return faults.length > 0 ? err(toFailures(file, faults)) : ok(objects);
}

function readKind(
  kind: string,
  tables: unknown,
  objects: ObjectEntry[],
  faults: SettingsFault[],
): void {
  const known = configurationKindSchema.safeParse(kind);
  if (!known.success || !Array.isArray(tables)) {
    faults.push({ key: kind, value: known.success ? 'no array' : 'unknown kind', fix: KINDS_FIX });
    return;
  }
  tables.forEach((table, index) => {
    readObject(known.data, index, table).match(
      (object) => objects.push(object),
      (found) => faults.push(...found),
    );
  });
}

function readObject(
  kind: ConfigurationKind,
  index: number,
  table: unknown,
): Result<ObjectEntry, SettingsFault[]> {
  const named = namedTableSchema.safeParse(table);
  if (!named.success) {
    return err(prefixKeys(`${kind}[${index}]`, describeIssues(named.error, table)));
  }
  const { name, ...fields } = named.data;
  const value = OBJECT_SCHEMAS[kind].safeParse(fields);
  if (!value.success) {
    return err(prefixKeys(`${kind} "${name}"`, describeIssues(value.error, fields)));
  }
  if (kind === 'policy' && name !== POLICY_NAME) {
    const fix = `there is one policy object and its name is "${POLICY_NAME}"`;
    return err([{ key: `policy "${name}" name`, value: name, fix }]);
  }
  return ok({ kind, name, value: value.data });
}

function prefixKeys(prefix: string, faults: readonly SettingsFault[]): SettingsFault[] {
  return faults.map((fault) => ({ ...fault, key: `${prefix} ${fault.key}` }));
}

function findDuplicates(objects: readonly ObjectEntry[]): SettingsFault[] {
  const seen = new Set<string>();
  const faults: SettingsFault[] = [];
  for (const { kind, name } of objects) {
    const id = `${kind}/${name}`;
    if (seen.has(id)) {
      faults.push({ key: `${kind} "${name}"`, value: 'twice', fix: 'keep one of the two' });
    }
    seen.add(id);
  }
  return faults;
}
