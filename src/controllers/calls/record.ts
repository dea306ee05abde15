/**
 * Building and reading call records.
 */
import type { CallRecord, StoredObject } from '../../objects/index.js';
import { OBJECT_SCHEMAS } from '../../objects/index.js';
import { MAX_KEPT_BODY_BYTES, MAX_KEPT_HEADER_CHARACTERS } from './constants.js';
import type { CallRecordState, Claimant } from './call-state.js';
import type { OnceCall, StoredAnswer } from './types.js';

/** What the record of `call` says in `state`. */
export function createRecord(
  call: OnceCall,
  claimant: Claimant,
  state: CallRecordState,
): CallRecord {
  return {
    workspace: call.workspace,
    service: call.service,
    fingerprint: call.fingerprint,
    entry: claimant.entry,
    incarnation: claimant.incarnation,
    state,
  };
}

/** What stands in a stored record. */
export type RecordContent =
  | { kind: 'record'; record: CallRecord }
  /** Past the retention: the key was used, and its outcome is forgotten. */
  | { kind: 'expired' }
  /** Not of a form that this version of the program knows. */
  | { kind: 'invalid' };

/** Reads a stored record. */
export function readRecord(stored: StoredObject): RecordContent {
  // Only the collection of records past the retention deletes.
  if (stored.deleted) return { kind: 'expired' };
  const parsed = OBJECT_SCHEMAS['call-record'].safeParse(stored.value);
  if (!parsed.success) return { kind: 'invalid' };
  return 'workspace' in parsed.data ? { kind: 'record', record: parsed.data } : { kind: 'expired' };
}

/**
 * The record state that keeps `answer`. An answer too large for the platform is not kept in part:
 * the state says only that the call was answered, so that a replay is refused, never cut short.
 */
export function encodeAnswer(answer: StoredAnswer): CallRecordState {
  const headers = answer.headers.map(({ name, value }) => ({ name, value }));
  const characters = headers.reduce(
    (sum, field) => sum + field.name.length + field.value.length,
    0,
  );
  const fits =
    answer.body.byteLength <= MAX_KEPT_BODY_BYTES && characters <= MAX_KEPT_HEADER_CHARACTERS;
  if (!fits) return { kind: 'answerTooLarge', status: answer.status };

  const body = Buffer.from(answer.body).toString('base64');
  return { kind: 'answered', status: answer.status, headers, body };
}

/** The answer that a record keeps, byte for byte as it was given. */
export function decodeAnswer(state: Extract<CallRecordState, { kind: 'answered' }>): StoredAnswer {
  const body = new Uint8Array(Buffer.from(state.body, 'base64'));
  return { status: state.status, headers: state.headers, body };
}
