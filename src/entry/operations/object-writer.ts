/**
 * Conditional writes for operators. Each is based on a version: the one that the operator names,
 * or the one that is current. Of two operators who race, the loser is told which version won.
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

/** Changes that commute with others, such as of one label, are made again after a conflict. */
const MERGE_ATTEMPTS = 4;

/** What the writer tells of a change, so that it counts here and at the peers at once. */
export interface WriterParts {
  configuration: Pick<ConfigurationPart, 'merge'>;
  membership: Pick<MembershipPart, 'markLeaving'>;
}

/** How a changed value follows from the current object. */
type Change = (current: StoredObject | undefined) => Result<ValidObject, Refusal>;

interface MergeRequest {
  kind: ObjectKind;
  name: string;
  expected?: number;
  change: Change;
}

/** The writes of one entry's operators. */
export function createObjectWriter(
  context: EntryContext,
  parts: WriterParts,
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
        parts.configuration.merge({ since: version, revision: version, objects: [object] });
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
    const { kind, name, change } = request;
    return read(kind, name).andThen((current) =>
      change(current).asyncAndThen(({ value, warnings }) => {
        const expected = request.expected ?? current?.version ?? 0;
        return write({ kind, name, expected, nonce: randomUUID(), value })
          .map((object) => ({ object, warnings }))
          .orElse((refusal) => {
            const isRace = refusal.failure.kind === 'versionConflict';
            const mayRepeat = request.expected === undefined && attempt < MERGE_ATTEMPTS;
            return isRace && mayRepeat ? merge(request, attempt + 1) : errAsync(refusal);
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
      change: (current) =>
        relabel(current, change).andThen((value) =>
          kind === 'instance' ? ok({ value, warnings: [] }) : validate({ kind, name, value }),
        ),
    });
  };

  const drain = (instance: string): ResultAsync<AppliedChange, Refusal> =>
    merge({
      kind: 'instance',
      name: instance,
      change: (current) =>
        readValue(current, instance).map((value) => ({
          value: { ...instanceSchema.parse(value), state: 'leaving' },
          warnings: [],
        })),
    }).map((applied) => {
      parts.membership.markLeaving(instance, applied.object.version);
      return applied;
    });

  return { apply, label, drain };
}

function relabel(
  current: StoredObject | undefined,
  { name, labels }: LabelChange,
): Result<object, Refusal> {
  return readValue(current, name).map((value) => {
    const before = labelsSchema.catch({}).parse('labels' in value ? value.labels : {});
    const merged = Object.entries({ ...before, ...labels }).filter(([, text]) => text !== null);
    return { ...value, labels: Object.fromEntries(merged) };
  });
}

/** The value of a live object that is valid for its kind. */
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
  const won = current?.version ?? 0;
  const failure = createFailure('versionConflict', { name: `${kind} "${name}"`, won });
  return current === undefined ? { failure } : { failure, current };
}

function toRefusal(failure: Failure): Refusal {
  return { failure };
}
