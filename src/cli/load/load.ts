/**
 * `yuccasail load`: open-loop load on entries, with histograms of what callers saw.
 */
import type { Result, ResultAsync } from 'neverthrow';
import {
  checkTable,
  parseTomlFile,
  readSettingsFile,
  type SettingsFailures,
} from '../../core/settings/index.js';
import { parseCommandLine } from '../command-line.js';
import type { Exit } from '../exit-codes.js';
import { printFailures, printJson, printLine } from '../output.js';
import { loadPlanSchema, type LoadPlan } from './plan.js';
import type { StreamSummary } from './recorder.js';
import { runLoad } from './run.js';
import { renderSummary } from './summary.js';

const HELP = `
Usage
  $ yuccasail load --plan <file> --target <host:port> [--target <host:port> ...]

Options
  --plan     TOML: rate, seconds, seed and [[stream]] tables (see examples/*/load.toml)
  --target   An entry's address for callers; several are used in turn
  --rate     Requests a second, in place of the plan's
  --seconds  How long requests arrive, in place of the plan's
  --json     Print one JSON object

Requests arrive at times fixed beforehand and wait for no answer. Spans count from those times.
Exits with 0 when every answer was whole, else with 6.
`;

interface Overrides {
  rate?: number | undefined;
  seconds?: number | undefined;
}

export async function runLoadCommand(argv: readonly string[]): Promise<Exit> {
  const { flags, showHelp } = parseCommandLine({
    help: HELP,
    argv,
    flags: {
      plan: { type: 'string' },
      target: { type: 'string', isMultiple: true },
      rate: { type: 'number' },
      seconds: { type: 'number' },
      json: { type: 'boolean' },
    },
  });
  const { plan: file, target: targets = [], rate, seconds } = flags;
  if (file === undefined || targets.length === 0) return showHelp();
  const plan = await loadPlan(file, { rate, seconds });
  if (plan.isErr()) {
    printFailures(plan.error);
    return 'usage';
  }
  const streams = await runLoad(plan.value, targets);
  if (flags.json) printJson({ rate: plan.value.rate, seconds: plan.value.seconds, streams });
  else printLine(renderSummary(streams));
  return streams.every(isWhole) ? 'done' : 'failedAnswers';
}

function loadPlan(file: string, overrides: Overrides): ResultAsync<LoadPlan, SettingsFailures> {
  return readSettingsFile(file).andThen((text) => parsePlan(file, text, overrides));
}

/** The plan in `text` with `overrides` in place of its own values. */
export function parsePlan(
  file: string,
  text: string,
  overrides: Overrides,
): Result<LoadPlan, SettingsFailures> {
  const given = Object.entries(overrides).filter(([, value]) => value !== undefined);
  return parseTomlFile(file, text)
    .map((table) => ({ ...table, ...Object.fromEntries(given) }))
    .andThen((table) => checkTable(file, table, loadPlanSchema));
}

function isWhole({ requests, whole }: StreamSummary): boolean {
  return requests === whole;
}
