/**
 * `yuccasail check`: whether settings and object files are valid, without applying them.
 */
import { loadEntrySettings, type SettingsFailures } from '../../core/settings/index.js';
import { parseCommandLine } from '../command-line.js';
import type { Exit } from '../exit-codes.js';
import { loadObjectFile } from '../object-file.js';
import { printFailures, printJson, printLine } from '../output.js';

const HELP = `
Usage
  $ yuccasail check [--settings <file>] [<object file> ...]

Options
  --settings  Settings of an entry
  --json      Print one JSON object

Exits with 0 when all files are valid, else with 2.
`;

interface Checked {
  file: string;
  failures: SettingsFailures;
}

export async function runCheck(argv: readonly string[]): Promise<Exit> {
  const { flags, input, showHelp } = parseCommandLine({
    help: HELP,
    argv,
    flags: { settings: { type: 'string', isMultiple: true }, json: { type: 'boolean' } },
  });
  const { settings: settingsFiles = [] } = flags;
  if (settingsFiles.length + input.length === 0) return showHelp();
  const settings = await Promise.all(settingsFiles.map(checkSettings));
  const objects = await Promise.all(input.map(checkObjects));
  const checked = [...settings, ...objects];
  if (flags.json) printJson({ files: checked });
  else printChecked(checked);
  return checked.every(({ failures }) => failures.length === 0) ? 'done' : 'usage';
}

async function checkSettings(file: string): Promise<Checked> {
  const result = await loadEntrySettings(file);
  return { file, failures: result.isErr() ? result.error : [] };
}

async function checkObjects(file: string): Promise<Checked> {
  const result = await loadObjectFile(file);
  return { file, failures: result.isErr() ? result.error : [] };
}

function printChecked(checked: readonly Checked[]): void {
  for (const { file, failures } of checked) {
    if (failures.length === 0) printLine(`${file}: valid`);
    else printFailures(failures);
  }
}
