/**
 * `yuccasail diagnose`: why the requests of a span of time were late or not served, by the logs of gateways.
 */
import { parseCommandLine } from '../command-line.js';
import type { Exit } from '../exit-codes.js';
import { readLogTexts } from '../log-texts.js';
import { printJson, printLine } from '../output.js';
import { renderSeconds, renderTable } from './render.js';
import { summarizeLosses } from './losses.js';

const HELP = `
Usage
  $ yuccasail diagnose [<log file> ...]

Reads the logs of gateways from files, or from standard input without any. Each request that was late or
not served counts for exactly one cause.

Options
  --seconds  Also print how many were on time, late and not served in each second
  --json     Print one JSON object

Exits with 4 when no line tells of the end of a request.
`;

export async function runDiagnose(argv: readonly string[]): Promise<Exit> {
  const { flags, input: files } = parseCommandLine({
    help: HELP,
    argv,
    flags: { json: { type: 'boolean' }, seconds: { type: 'boolean' } },
  });
  const texts = await readLogTexts(files);
  const summary = summarizeLosses(texts);
  if (flags.json) printJson(summary);
  else {
    const seconds = flags.seconds ? renderSeconds(summary.seconds) : [];
    for (const line of [...renderTable(summary), ...seconds]) printLine(line);
  }
  return summary.routes.length > 0 ? 'done' : 'refused';
}
