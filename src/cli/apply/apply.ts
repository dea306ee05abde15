/**
 * `yuccasail apply`: writes objects from files and waits until they are in force everywhere.
 */
import type { SettingsFailures } from '../../core/settings/index.js';
import type { Exit } from '../exit-codes.js';
import { loadObjectFile, type ObjectEntry } from '../object-file.js';
import {
  awaitAcceptance,
  endWithAcceptance,
  endWithFailure,
  OPERATORS_HELP,
  parseOperatorsCommand,
  printAcceptance,
  type OperatorsArguments,
} from '../operators/index.js';
import { printFailures, printJson, printLine } from '../output.js';
import { writeObject, type Written } from './write-object.js';

const HELP = `
Usage
  $ yuccasail apply -f <file> [-f <file> ...]

Options${OPERATORS_HELP}
  --wait-ms    How long to wait until the change is in force everywhere (default: 10000)

All files are checked before anything is written. Objects that are not in them stay as they are. Each
object is written on the condition that nobody changed it since it was read. Exits with 0 when all
are in force at every live entry, 4 when one was refused, 5 while entries lack the change.
`;

export async function runApply(argv: readonly string[]): Promise<Exit> {
  const args = parseOperatorsCommand(HELP, argv, (_, files) => files.length > 0);
  const { objects, failures } = await loadFiles(args.files);
  if (failures.length > 0) {
    printFailures(failures);
    return 'usage';
  }
  return applyObjects(args, objects);
}

interface LoadedFiles {
  objects: readonly ObjectEntry[];
  failures: SettingsFailures;
}

async function loadFiles(files: readonly string[]): Promise<LoadedFiles> {
  const loaded = await Promise.all(files.map((file) => loadObjectFile(file)));
  return {
    objects: loaded.flatMap((result) => (result.isOk() ? result.value : [])),
    failures: loaded.flatMap((result) => (result.isErr() ? result.error : [])),
  };
}

async function applyObjects(
  args: OperatorsArguments,
  objects: readonly ObjectEntry[],
): Promise<Exit> {
  const { client, json, waitMs } = args;
  const written: Written[] = [];
  for (const object of objects) {
    const result = await writeObject(client, object);
    if (result.isErr()) {
      if (json) printJson({ objects: written, failure: result.error });
      return endWithFailure(result.error);
    }
    written.push(result.value);
    if (!json) printWritten(result.value);
  }
  const newest = Math.max(0, ...written.map(({ version }) => version));
  const acceptance = await awaitAcceptance(client, newest, waitMs);
  if (acceptance.isErr()) return endWithFailure(acceptance.error);
  if (json) printJson({ objects: written, acceptance: acceptance.value });
  else printAcceptance(acceptance.value);
  return endWithAcceptance(acceptance.value);
}

function printWritten({ kind, name, version, outcome }: Written): void {
  printLine(`${kind} "${name}": ${outcome}, version ${version}`);
}
