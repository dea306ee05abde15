/**
 * `yuccasail explain`: from the id of a request to why it ended as it did, by the logs of gateways.
 */
import { parseCommandLine } from '../command-line.js';
import type { Exit } from '../exit-codes.js';
import { readLogTexts } from '../log-texts.js';
import { printJson, printLine } from '../output.js';
import { CAUSES, explainRequest, sinceStart, type Finding } from './findings.js';
import { parseLines, type LoggedLine } from './log-lines.js';

const HELP = `
Usage
  $ yuccasail explain <request id> [<log file> ...]

Reads the logs of gateways from files, or from standard input without any.

Options
  --json  Print one JSON object

Exits with 4 when no line has the id.
`;

/** Left out of a printed line: they are the same in each, or printed apart. */
const APART = new Set(['at', 'event', 'level', 'message', 'name', 'request', 'source']);

export async function runExplain(argv: readonly string[]): Promise<Exit> {
  const { flags, input, showHelp } = parseCommandLine({
    help: HELP,
    argv,
    flags: { json: { type: 'boolean' } },
  });
  const [id, ...files] = input;
  if (id === undefined) return showHelp();
  const texts = await readLogTexts(files);
  const finding = explainRequest(id, texts.flatMap(parseLines));
  if (flags.json) printJson(finding);
  else printFinding(id, finding);
  return finding.cause === 'notLogged' ? 'refused' : 'done';
}

function printFinding(id: string, { cause, lines, around }: Finding): void {
  printLine(`${id}: ${cause}. ${CAUSES[cause]}`);
  for (const line of lines) printLine(`  ${describe(line, lines)}`);
  if (around.length > 0) printLine('What its gateway learnt near that time:');
  for (const line of around) printLine(`  ${describe(line, lines)}`);
}

function describe(line: LoggedLine, lines: readonly LoggedLine[]): string {
  const values = Object.entries(line)
    .filter(([key]) => !APART.has(key))
    .map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  return `${sinceStart(line, lines)} ms ${line.source} ${line.name} ${values.join(' ')}`;
}
