/**
 * Calls to an entry's address for operators.
 */
import { err, errAsync, ok, ResultAsync, type Result } from 'neverthrow';
import { request as sendRequest } from 'undici';
import * as z from 'zod';
import { createFailure, ERRORS, type ErrorKind, type Failure } from '../../core/errors/index.js';
import { parseJson } from '../../core/json/index.js';
import { storedObjectSchema, type StoredObject } from '../../objects/index.js';

/** One call. */
export interface OperatorsCall<Value> {
  method: 'GET' | 'PUT' | 'PATCH' | 'POST' | 'DELETE';
  path: string;
  body?: unknown;
  /** What the answer must be. */
  schema: z.ZodType<Value>;
}

/** An entry as its operators reach it. */
export interface OperatorsClient {
  call<Value>(call: OperatorsCall<Value>): ResultAsync<Value, OperatorsFailure>;
}

/** A failure as the entry told it. */
export interface OperatorsFailure extends Failure {
  /** Of a version conflict: the object that won; absent when there is none. */
  current?: StoredObject | undefined;
  /** Of an invalid object: each fault as a line. */
  faults: readonly string[];
}

const SUCCESS_BELOW = 300;
/** Longer than the longest wait for acceptance. */
const TIMEOUT_MS = 75_000;

/** Errors of a connection that was never made. */
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'ENOTFOUND',
  'EAI_AGAIN',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const errorSchema = z.object({
  error: z.object({ kind: z.string(), message: z.string() }),
  current: storedObjectSchema.optional(),
  faults: z.array(z.object({ key: z.string(), value: z.string(), fix: z.string() })).default([]),
});

/**
 * A client of the entry at `address`.
 *
 * @example createOperatorsClient('10.0.0.7:8081').call({ method: 'GET', path: '/status', schema })
 */
export function createOperatorsClient(address: string): OperatorsClient {
  return {
    call: ({ method, path, body, schema }) =>
      send(address, method, path, body).andThen(({ status, text }) => {
        if (status >= SUCCESS_BELOW) return err(readFailure(address, status, text));
        return readValue(address, text, schema);
      }),
  };
}

function unreachable(name: string, reason: string): OperatorsFailure {
  return { ...createFailure('unreachable', { name, reason }), faults: [] };
}

function invalidMessage(from: string, reason: string): OperatorsFailure {
  return { ...createFailure('messageInvalid', { from, reason }), faults: [] };
}

interface RawAnswer {
  status: number;
  text: string;
}

function send(
  address: string,
  method: string,
  path: string,
  body: unknown,
): ResultAsync<RawAnswer, OperatorsFailure> {
  const url = `http://${address}${path}`;
  if (!URL.canParse(url)) return errAsync(unreachable(address, 'it is no address'));
  return ResultAsync.fromPromise(sendRaw(url, method, body), (error) => {
    const reason = error instanceof Error ? error.message : 'unknown';
    return unreachable(address, `${reason}${describeDoubt(method, error)}`);
  });
}

/**
 * Guards against a change made twice: an entry makes it before it answers, so a lost answer says
 * nothing of it. Only when no connection could be made is it certain that nothing was sent.
 */
function describeDoubt(method: string, error: unknown): string {
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  const isCertain = method === 'GET' || CONNECT_ERRORS.has(code);
  return isCertain ? '' : '; the change may have been made';
}

async function sendRaw(url: string, method: string, body: unknown): Promise<RawAnswer> {
  const answer = await sendRequest(url, {
    method,
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
    ...(body === undefined
      ? {}
      : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
  });
  return { status: answer.statusCode, text: await answer.body.text() };
}

function readFailure(address: string, status: number, text: string): OperatorsFailure {
  const parsed = errorSchema.safeParse(parseJson(text));
  if (parsed.success && isErrorKind(parsed.data.error.kind)) {
    const { error, current, faults } = parsed.data;
    return {
      kind: parsed.data.error.kind,
      message: error.message,
      current,
      faults: faults.map(({ key, value, fix }) => `${key} = ${value}: ${fix}`),
    };
  }
  return invalidMessage(address, `status ${status}`);
}

function isErrorKind(kind: string): kind is ErrorKind {
  return Object.hasOwn(ERRORS, kind);
}

function readValue<Value>(
  address: string,
  text: string,
  schema: z.ZodType<Value>,
): Result<Value, OperatorsFailure> {
  const value = schema.safeParse(parseJson(text));
  if (value.success) return ok(value.data);
  return err(invalidMessage(address, z.prettifyError(value.error)));
}
