/**
 * Conversion of schema validation issues to messages for operators.
 */
import type * as z from 'zod';

/** A validation error in a settings or object file. */
export interface SettingsFault {
  /** Dotted path of the key. */
  key: string;
  /** The invalid value as found, truncated. */
  value: string;
  /** How to correct the value. */
  fix: string;
}

const MAX_DISPLAYED_VALUE_LENGTH = 60;
const MILLISECONDS_EXAMPLE = 'a whole number of milliseconds without quotes, for example 2000';

/** Converts the issues of `error` to faults. `input` is the value that was validated. */
export function describeIssues(error: z.ZodError, input: unknown): SettingsFault[] {
  return error.issues.flatMap((issue) => describeIssue(issue, input));
}

function describeIssue(issue: z.core.$ZodIssue, input: unknown): SettingsFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => describeUnknownKey(key, issue.path, input));
  }
  const value = getValueAtPath(input, issue.path);
  const key = formatPath(issue.path);
  if (value === undefined) return [{ key, value: '(missing)', fix: describeMissing(issue) }];
  return [{ key, value: formatValue(value), fix: describeFix(key, issue) }];
}

function describeMissing(issue: z.core.$ZodIssue): string {
  return issue.code === 'invalid_type' ? `set it (${issue.expected})` : 'set it';
}

function describeFix(key: string, issue: z.core.$ZodIssue): string {
  const isDuration = key.endsWith('Ms');
  return isDuration ? `must be ${MILLISECONDS_EXAMPLE} (${issue.message})` : issue.message;
}

function describeUnknownKey(key: string, path: PropertyKey[], input: unknown): SettingsFault {
  return {
    key: formatPath([...path, key]),
    value: formatValue(getValueAtPath(input, [...path, key])),
    fix: 'there is no such key; docs/settings.md lists the keys and their units',
  };
}

function getValueAtPath(input: unknown, path: readonly PropertyKey[]): unknown {
  let value: unknown = input;
  for (const step of path) {
    if (typeof value !== 'object' || value === null || !Object.hasOwn(value, step)) {
      return undefined;
    }
    value = (value as Record<PropertyKey, unknown>)[step];
  }
  return value;
}

function formatPath(path: readonly PropertyKey[]): string {
  return path.length === 0 ? '(file)' : path.map(String).join('.');
}

function formatValue(value: unknown): string {
  const text = JSON.stringify(value) as string | undefined;
  if (text === undefined) return '(missing)';
  return text.length > MAX_DISPLAYED_VALUE_LENGTH
    ? `${text.slice(0, MAX_DISPLAYED_VALUE_LENGTH)}…`
    : text;
}
