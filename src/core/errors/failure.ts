/**
 * Errors as values.
 */
import type { Milliseconds } from '../clock/index.js';
import { ERRORS, type Conclusion, type ErrorKind } from './catalogue.js';

type ValuesOf<Kind extends ErrorKind> =
  Parameters<(typeof ERRORS)[Kind]['message']> extends [infer Values]
    ? unknown extends Values
      ? undefined
      : Values
    : undefined;

/** An error of a kind from the catalogue. */
export interface Failure<Kind extends ErrorKind = ErrorKind> {
  kind: Kind;
  message: string;
  /** Delay before a retry; absent if it is unknown or a retry will not help. */
  retryAfterMs?: Milliseconds;
}

/**
 * Creates a failure of the given kind.
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

/** Returns what a caller may conclude about the request that ended in `failure`. */
export function getConclusion(failure: Failure): Conclusion {
  return ERRORS[failure.kind].conclusion;
}
