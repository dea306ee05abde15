/**
 * Writes one object, conditional on what was read just before.
 */
import { isDeepStrictEqual } from 'node:util';
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import { storedObjectSchema, type StoredObject } from '../../objects/index.js';
import type { ObjectEntry } from '../object-file.js';
import {
  appliedChangeSchema,
  printWarnings,
  type OperatorsClient,
  type OperatorsFailure,
} from '../operators/index.js';

/** What became of one object. */
export interface Written {
  kind: string;
  name: string;
  version: number;
  outcome: 'created' | 'changed' | 'unchanged';
}

/** Writes `entry` unless the entry's value is there already. */
export function writeObject(
  client: OperatorsClient,
  entry: ObjectEntry,
): ResultAsync<Written, OperatorsFailure> {
  return readCurrent(client, entry).andThen((current) => {
    if (current === undefined) return create(client, entry);
    const { version, value } = current;
    const { kind, name } = entry;
    if (isDeepStrictEqual(value, entry.value)) {
      return okAsync<Written, OperatorsFailure>({ kind, name, version, outcome: 'unchanged' });
    }
    return put(client, entry, version, 'changed');
  });
}

function readCurrent(
  client: OperatorsClient,
  entry: ObjectEntry,
): ResultAsync<StoredObject | undefined, OperatorsFailure> {
  return client
    .call({ method: 'GET', path: pathOf(entry), schema: storedObjectSchema })
    .map((object): StoredObject | undefined => object)
    .orElse((failure) =>
      failure.kind === 'objectUnknown' ? okAsync(undefined) : errAsync(failure),
    );
}

/**
 * Creates an object. A deleted one counts as existing for the platform's condition, so that a
 * change based on the deleted version can't slip in: then the write is based on the deletion.
 */
function create(
  client: OperatorsClient,
  entry: ObjectEntry,
): ResultAsync<Written, OperatorsFailure> {
  return put(client, entry, 0, 'created').orElse((failure) => {
    const { kind, current } = failure;
    const wasDeleted = kind === 'versionConflict' && current?.deleted === true;
    return wasDeleted ? put(client, entry, current.version, 'created') : errAsync(failure);
  });
}

function put(
  client: OperatorsClient,
  entry: ObjectEntry,
  expected: number,
  outcome: Written['outcome'],
): ResultAsync<Written, OperatorsFailure> {
  const { kind, name, value } = entry;
  return client
    .call({
      method: 'PUT',
      path: pathOf(entry),
      body: { value, expected },
      schema: appliedChangeSchema,
    })
    .map((applied) => {
      printWarnings(applied);
      return { kind, name, version: applied.object.version, outcome };
    });
}

function pathOf({ kind, name }: ObjectEntry): string {
  return `/objects/${kind}/${name}`;
}
