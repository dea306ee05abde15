/**
 * Conditional writes for operators. Each write expects a version: the one given by the operator or
 * the current one. On a conflict, the operator receives the version that was written first.
 */
import { randomUUID } from 'node:crypto';
import { err, errAsync, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import type {
  AppliedChange,
  LabelChange,
  ObjectChange,
  Operations,
  Refusal,
} from '../../adapters/operators/index.js';
import type { PlatformWrite } from '../../adapters/platform/index.js';
import {
  validateObject,
  type ProposedObject,
  type ValidObject,
} from '../../controllers/configuration/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { describeIssues, type SettingsFault } from '../../core/settings/issues.js';
import { labelsSchema } from '../../core/labels/index.js';
import {
  instanceSchema,
  OBJECT_SCHEMAS,
  type ObjectKind,
  type StoredObject,
} from '../../objects/index.js';
import type { ConfigurationPart } from '../configuration/index.js';
import type { MembershipPart } from '../membership/index.js';
import type { EntryContext } from '../types.js';

/** Attempts at a change that is recomputed after a conflict, such as a change of labels. */
const MAX_MERGE_ATTEMPTS = 4;

/** The parts that apply a written change here and pass it to peers without delay. */
export interface WriterDependencies {
  configuration: Pick<ConfigurationPart, 'merge'>;
  membership: Pick<MembershipPart, 'markLeaving'>;
}

/** Computes the new value from the current object. */
type ComputeChange = (current: StoredObject | undefined) => Result<ValidObject, Refusal>;

interface MergeRequest {
  kind: ObjectKind;
  name: string;
  expected?: number;
  computeChange: ComputeChange;
}

/** Creates the write operations of one entry. */
export function createObjectWriter(
  context: EntryContext,
  dependencies: WriterDependencies,
): Pick<Operations, 'apply' | 'label' | 'drain'> {
  const { board, logger, platform } = context;

  const read = (kind: ObjectKind, name: string): ResultAsync<StoredObject | undefined, Refusal> =>
    platform.read(kind, name).mapErr(toRefusal);

  const write = (request: PlatformWrite): ResultAsync<StoredObject, Refusal> =>
    platform
      .write(request)
      .mapErr(toRefusal)
      .andThen((outcome): Result<StoredObject, Refusal> => {
        if (outcome.kind === 'conflict') {
          const refusal = describeConflict(request, outcome.current);
          logger.log('operatorRefused', { reason: refusal.failure.message });
          return err(refusal);
        }
        const { object } = outcome;
        const { version } = object;
        dependencies.configuration.merge({ since: version, revision: version, objects: [object] });
        logger.log('objectWritten', { kind: object.kind, object: object.name, version });
        return ok(object);
      });

  const validate = (proposed: ProposedObject): Result<ValidObject, Refusal> => {
    const view = { configuration: board.configuration.read(), fleet: board.fleet.read() };
    return validateObject(proposed, view).mapErr((faults) => describeFaults(proposed, faults));
  };

  const apply = (change: ObjectChange): ResultAsync<AppliedChange, Refusal> => {
    const { kind, name, deleted } = change;
    const valid = deleted ? ok({ value: null, warnings: [] }) : validate(change);
    if (valid.isErr()) return errAsync(valid.error);
    const { value, warnings } = valid.value;
    return resolveExpected(change).andThen((expected) =>
      write({ kind, name, expected, nonce: randomUUID(), deleted, value }).map((object) => ({
        object,
        warnings,
      })),
    );
  };
  const resolveExpected = (change: ObjectChange): ResultAsync<number, Refusal> => {
    const { kind, name, expected, deleted } = change;
    if (expected !== undefined) return okAsync(expected);
    return read(kind, name).andThen((current) => {
      const isMissing = current === undefined || current.deleted;
      if (deleted && isMissing) return err(describeMissing(name));
      return ok(current?.version ?? 0);
    });
  };

  const merge = (request: MergeRequest, attempt = 1): ResultAsync<AppliedChange, Refusal> => {
    const { kind, name, computeChange: change } = request;
    return read(kind, name).andThen((current) =>
      change(current).asyncAndThen(({ value, warnings }) => {
        const expected = request.expected ?? current?.version ?? 0;
        return write({ kind, name, expected, nonce: randomUUID(), value })
          .map((object) => ({ object, warnings }))
          .orElse((refusal) => {
            const isConflict = refusal.failure.kind === 'versionConflict';
            const mayRetry = request.expected === undefined && attempt < MAX_MERGE_ATTEMPTS;
            return isConflict && mayRetry ? merge(request, attempt + 1) : errAsync(refusal);
          });
      }),
    );
  };

  const label = (change: LabelChange): ResultAsync<AppliedChange, Refusal> => {
    const { kind, name, expected } = change;
    return merge({
      kind,
      name,
      ...(expected === undefined ? {} : { expected }),
      computeChange: (current) =>
        mergeLabels(current, change).andThen((value) =>
          kind === 'instance' ? ok({ value, warnings: [] }) : validate({ kind, name, value }),
        ),
    });
  };

  const drain = (instance: string): ResultAsync<AppliedChange, Refusal> =>
    merge({
      kind: 'instance',
      name: instance,
      computeChange: (current) =>
        readValue(current, instance).map((value) => ({
          value: { ...instanceSchema.parse(value), state: 'leaving' },
          warnings: [],
        })),
    }).map((applied) => {
      dependencies.membership.markLeaving(instance, applied.object.version);
      return applied;
    });

  return { apply, label, drain };
}

function mergeLabels(
  current: StoredObject | undefined,
  { name, labels }: LabelChange,
): Result<object, Refusal> {
  return readValue(current, name).map((value) => {
    const currentLabels = labelsSchema.catch({}).parse('labels' in value ? value.labels : {});
    const merged = Object.entries({ ...currentLabels, ...labels }).filter(
      ([, text]) => text !== null,
    );
    return { ...value, labels: Object.fromEntries(merged) };
  });
}

/** Returns the value of an existing object if it is valid for its kind. */
function readValue(current: StoredObject | undefined, name: string): Result<object, Refusal> {
  if (current === undefined || current.deleted) return err(describeMissing(name));
  const parsed = OBJECT_SCHEMAS[current.kind].safeParse(current.value);
  if (parsed.success) return ok(parsed.data);
  return err(describeFaults(current, describeIssues(parsed.error, current.value)));
}

function describeMissing(name: string): Refusal {
  return { failure: createFailure('objectUnknown', { name }) };
}

function describeFaults(
  { kind, name }: { kind: string; name: string },
  faults: readonly SettingsFault[],
): Refusal {
  const reason = faults.map((fault) => `${fault.key} = ${fault.value}: ${fault.fix}`).join('; ');
  return { failure: createFailure('objectInvalid', { name: `${kind} "${name}"`, reason }), faults };
}

function describeConflict(
  { kind, name }: PlatformWrite,
  current: StoredObject | undefined,
): Refusal {
  const currentVersion = current?.version ?? 0;
  const failure = createFailure('versionConflict', {
    name: `${kind} "${name}"`,
    won: currentVersion,
  });
  return current === undefined ? { failure } : { failure, current };
}

function toRefusal(failure: Failure): Refusal {
  return { failure };
}
