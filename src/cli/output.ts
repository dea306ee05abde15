/**
 * What commands write: results to standard output, failures to standard error.
 */
import type { Failure } from '../core/errors/index.js';

/** One line of standard output. */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** `value` as one line of JSON on standard output, for programs to read. */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value));
}

/** Each failure as one line of standard error. */
export function printFailures(failures: readonly Failure[]): void {
  for (const { kind, message } of failures) process.stderr.write(`error: ${kind}: ${message}\n`);
}
