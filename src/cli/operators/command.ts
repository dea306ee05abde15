/**
 * What the commands that talk to an entry's address for operators have in common.
 */
import { parseCommandLine } from '../command-line.js';
import { createOperatorsClient, type OperatorsClient } from './client.js';

const ADDRESS_VARIABLE = 'YUCCASAIL_OPERATORS';
const DEFAULT_WAIT_MS = 10_000;

export const OPERATORS_HELP = `
  --operators  An entry's address for operators (default: $${ADDRESS_VARIABLE})
  --json       Print JSON`;

/** The arguments of one call of such a command. */
export interface OperatorsArguments {
  client: OperatorsClient;
  input: readonly string[];
  /** Given by -f. */
  files: readonly string[];
  json: boolean;
  waitMs: number;
}

/** Parses `argv`; prints `help` and ends the process when the address or an argument is missing. */
export function parseOperatorsCommand(
  help: string,
  argv: readonly string[],
  isComplete: (input: readonly string[], files: readonly string[]) => boolean,
): OperatorsArguments {
  const { flags, input, showHelp } = parseCommandLine({
    help,
    argv,
    flags: {
      operators: { type: 'string' },
      json: { type: 'boolean' },
      waitMs: { type: 'number', default: DEFAULT_WAIT_MS },
      file: { type: 'string', shortFlag: 'f', isMultiple: true },
    },
  });
  const address = flags.operators ?? process.env[ADDRESS_VARIABLE];
  const { file: files = [], json = false, waitMs } = flags;
  if (address === undefined || !isComplete(input, files)) return showHelp();
  return { client: createOperatorsClient(address), input, files, json, waitMs };
}
