/**
 * Creates, parses and encodes call records.
 */
import type { CallRecord, StoredObject } from '../../objects/index.js';
import { OBJECT_SCHEMAS } from '../../objects/index.js';
import { MAX_STORED_BODY_BYTES, MAX_STORED_HEADER_CHARACTERS } from './constants.js';
import type { CallRecordState, Claimant } from './call-state.js';
import type { OnceCall, StoredAnswer } from './types.js';

/** Creates the record of `call` with `state`. */
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

/** Parsed content of a stored record. */
export type RecordContent =
  | { kind: 'record'; record: CallRecord }
  /** The key was used, but the retention of its outcome has ended. */
  | { kind: 'expired' }
  /** Does not match the schema of this version of the program. */
  | { kind: 'invalid' };

/** Parses a stored record. */
export function readRecord(stored: StoredObject): RecordContent {
  // Records are deleted only after their retention has ended.
  if (stored.deleted) return { kind: 'expired' };
  const parsed = OBJECT_SCHEMAS['call-record'].safeParse(stored.value);
  if (!parsed.success) return { kind: 'invalid' };
  return 'workspace' in parsed.data ? { kind: 'record', record: parsed.data } : { kind: 'expired' };
}

/**
 * Encodes `answer` as a record state. A response that exceeds the size limits is not stored, only
 * its status, so that a replay is rejected instead of truncated.
 */
export function encodeAnswer(answer: StoredAnswer): CallRecordState {
  const headers = answer.headers.map(({ name, value }) => ({ name, value }));
  const characters = headers.reduce(
    (sum, field) => sum + field.name.length + field.value.length,
    0,
  );
  const fits =
    answer.body.byteLength <= MAX_STORED_BODY_BYTES && characters <= MAX_STORED_HEADER_CHARACTERS;
  if (!fits) return { kind: 'answerTooLarge', status: answer.status };

  const body = Buffer.from(answer.body).toString('base64');
  return { kind: 'answered', status: answer.status, headers, body };
}

/** Decodes the stored response; its body is byte-identical to the original. */
export function decodeAnswer(state: Extract<CallRecordState, { kind: 'answered' }>): StoredAnswer {
  const body = new Uint8Array(Buffer.from(state.body, 'base64'));
  return { status: state.status, headers: state.headers, body };
}
