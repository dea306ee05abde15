/**
 * `yuccasail diagnose`: why the requests of a span of time were late or not served, by the logs of gateways.
 */
import { parseCommandLine } from '../command-line.js';
import type { Exit } from '../exit-codes.js';
import { readLogTexts } from '../log-texts.js';
import { printJson, printLine } from '../output.js';
import { summarizeLoads } from './loads.js';
import { renderLoads, renderSeconds, renderTable } from './render.js';
import { summarizeLosses } from './losses.js';

const HELP = `
Usage
  $ yuccasail diagnose [<log file> ...]

Reads the logs of gateways from files, or from standard input without any. Each request that was late or
not served counts for exactly one cause.

Options
  --seconds  Also print how many were on time, late and not served in each second
  --loads    Print the loads of weights that the gateways ordered, summed over all of them
  --json     Print one JSON object

Exits with 4 when no line tells of the end of a request, with --loads when none tells of a load.
`;

export async function runDiagnose(argv: readonly string[]): Promise<Exit> {
  const { flags, input: files } = parseCommandLine({
    help: HELP,
    argv,
    flags: {
      json: { type: 'boolean' },
      seconds: { type: 'boolean' },
      loads: { type: 'boolean' },
    },
  });
  const texts = await readLogTexts(files);
  if (flags.loads) {
    const loads = summarizeLoads(texts);
    if (flags.json) printJson(loads);
    else for (const line of renderLoads(loads)) printLine(line);
    return loads.total > 0 ? 'done' : 'refused';
  }
  const summary = summarizeLosses(texts);
  if (flags.json) printJson(summary);
  else {
    const seconds = flags.seconds ? renderSeconds(summary.seconds) : [];
    for (const line of [...renderTable(summary), ...seconds]) printLine(line);
  }
  return summary.routes.length > 0 ? 'done' : 'refused';
}
