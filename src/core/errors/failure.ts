/**
 * Errors as values: a kind of the closed list, its values, and when to come back.
 */
import type { Milliseconds } from '../clock/index.js';
import { ERRORS, type Conclusion, type ErrorKind } from './catalogue.js';

type ValuesOf<Kind extends ErrorKind> =
  Parameters<(typeof ERRORS)[Kind]['message']> extends [infer Values]
    ? unknown extends Values
      ? undefined
      : Values
    : undefined;

/** An error that happened. */
export interface Failure<Kind extends ErrorKind = ErrorKind> {
  kind: Kind;
  message: string;
  /** How long to wait before asking again; absent when that is not known or will not help. */
  retryAfterMs?: Milliseconds;
}

/**
 * A failure of one kind.
 *
 * @example const failure = createFailure('modelUnknown', { name: 'pass-assistant' });
 */
export function createFailure<Kind extends ErrorKind>(
  kind: Kind,
  ...rest: ValuesOf<Kind> extends undefined
    ? [values?: undefined, retryAfterMs?: Milliseconds]
    : [values: ValuesOf<Kind>, retryAfterMs?: Milliseconds]
): Failure<Kind> {
  const [values, retryAfterMs] = rest;
  const render = ERRORS[kind].message as (values: unknown) => string;
  const failure: Failure<Kind> = { kind, message: render(values) };
  return retryAfterMs === undefined ? failure : { ...failure, retryAfterMs };
}

/** What a caller may conclude from `failure`. */
export function concludeFailure(failure: Failure): Conclusion {
  return ERRORS[failure.kind].conclusion;
}
