/**
 * TOML parsing with errors that name the line.
 */
import { err, ok, type Result } from 'neverthrow';
import { parse, TomlError } from 'smol-toml';

/** A TOML syntax error. `line` is 1-based. */
export interface TomlFault {
  line: number;
  text: string;
  reason: string;
}

/**
 * Parses `text`. The result is not validated against a schema.
 *
 * @example parseToml('name = "entry-1"').map((table) => table.name)
 */
export function parseToml(text: string): Result<Record<string, unknown>, TomlFault> {
  try {
    return ok(parse(text));
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    return err(describeTomlError(error, text));
  }
}

function describeTomlError(error: TomlError, text: string): TomlFault {
  const line = text.split('\n')[error.line - 1] ?? '';
  const [headline = 'not valid TOML'] = error.message.split('\n');
  return { line: error.line, text: line.trim(), reason: headline };
}
