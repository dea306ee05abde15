/**
 * Loading and validation of the settings file of an entry.
 */
import { readFile } from 'node:fs/promises';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type * as z from 'zod';
import { createFailure, type Failure } from '../errors/index.js';
import { findIncompatibleSettings } from './combinations.js';
import { entrySettingsSchema, type EntrySettings } from './entry-settings.js';
import { describeIssues, type SettingsFault } from './issues.js';
import { parseToml } from './toml.js';

/** All faults found in a file; never empty. */
export type SettingsFailures = readonly Failure<'settingsInvalid'>[];

/**
 * Loads the settings from `file`, or returns all faults found in it.
 *
 * @example
 * const settings = await loadEntrySettings('entry.toml');
 * settings.match(startEntry, (failures) => failures.forEach(({ message }) => console.error(message)));
 */
export function loadEntrySettings(file: string): ResultAsync<EntrySettings, SettingsFailures> {
  return readSettingsFile(file).andThen((text) => parseEntrySettings(file, text));
}

export function readSettingsFile(file: string): ResultAsync<string, SettingsFailures> {
  return ResultAsync.fromPromise(readFile(file, 'utf8'), (error) => [
    createFailure('settingsInvalid', {
      file,
      key: '(file)',
      value: '(unreadable)',
      fix: `name a file that can be read (${error instanceof Error ? error.message : 'unknown'})`,
    }),
  ]);
}

/** Parses and validates the settings in `text`. `file` is used in failure messages only. */
export function parseEntrySettings(
  file: string,
  text: string,
): Result<EntrySettings, SettingsFailures> {
  return parseTomlFile(file, text)
    .andThen((table) => checkTable(file, table, entrySettingsSchema))
    .andThen((settings) => {
      const faults = findIncompatibleSettings(settings);
      return faults.length > 0 ? err(toFailures(file, faults)) : ok(settings);
    });
}

/** Parses `text` without validating it. `file` is used in failure messages only. */
export function parseTomlFile(
  file: string,
  text: string,
): Result<Record<string, unknown>, SettingsFailures> {
  return parseToml(text).mapErr(({ line, text: shown, reason }) =>
    toFailures(file, [{ key: `line ${line}`, value: shown, fix: reason }]),
  );
}

/** Validates `table` against `schema` and returns the parsed value, or all faults found. */
export function checkTable<Value>(
  file: string,
  table: Record<string, unknown>,
  schema: z.ZodType<Value>,
): Result<Value, SettingsFailures> {
  const value = schema.safeParse(table);
  if (value.success) return ok(value.data);
  return err(toFailures(file, describeIssues(value.error, table)));
}

/** Converts `faults` found in `file` to failures. */
export function toFailures(file: string, faults: readonly SettingsFault[]): SettingsFailures {
  return faults.map((fault) => createFailure('settingsInvalid', { file, ...fault }));
}
