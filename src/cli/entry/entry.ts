/**
 * `yuccasail entry`: runs one entry until it is told to stop.
 */
import { createEntry } from '../../entry/index.js';
import { loadEntrySettings } from '../../core/settings/index.js';
import { parseCommandLine } from '../command-line.js';
import type { Exit } from '../exit-codes.js';
import { waitForStopSignal } from '../lifetime.js';
import { printFailures, printJson } from '../output.js';

const HELP = `
Usage
  $ yuccasail entry --settings <file>

Prints one JSON line with its addresses when it listens. At SIGTERM or SIGINT it turns its readiness
off, finishes what is in flight and exits with 0. docs/settings.md lists the settings.
`;

export async function runEntry(argv: readonly string[]): Promise<Exit> {
  const { flags, showHelp } = parseCommandLine({
    help: HELP,
    argv,
    flags: { settings: { type: 'string' } },
  });
  if (flags.settings === undefined) return showHelp();
  const settings = await loadEntrySettings(flags.settings);
  if (settings.isErr()) {
    printFailures(settings.error);
    return 'usage';
  }
  // Before the start: a signal during it would otherwise end the process where it stands.
  const stopSignal = waitForStopSignal();
  const started = await createEntry(settings.value);
  if (started.isErr()) {
    printFailures([started.error]);
    return 'unreachable';
  }
  const entry = started.value;
  printJson({
    listening: {
      callers: entry.callersAddress,
      operators: entry.operatorsAddress,
      peers: entry.peersAddress,
    },
  });
  await stopSignal;
  await entry.stop();
  return 'done';
}
