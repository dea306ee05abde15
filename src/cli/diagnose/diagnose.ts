/**
 * `yuccasail diagnose`: why the requests of a span of time were late or not served, by the logs of gateways.
 */
import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import { parseCommandLine } from '../command-line.js';
import type { Exit } from '../exit-codes.js';
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
  const texts =
    files.length > 0
      ? await Promise.all(files.map((file) => readFile(file, 'utf8')))
      : [await text(process.stdin)];
  const summary = summarizeLosses(texts);
  if (flags.json) printJson(summary);
  else for (const line of renderTable(summary)) printLine(line);
  if (flags.seconds && !flags.json)
    for (const line of renderSeconds(summary.seconds)) printLine(line);
  return summary.routes.length > 0 ? 'done' : 'refused';
}
