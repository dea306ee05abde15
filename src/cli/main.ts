/**
 * The program: finds the command and loads its code only then, so that a process holds in memory
 * what it needs and no more.
 */
import { parseCommandLine } from './command-line.js';
import { EXITS, type Exit } from './exit-codes.js';

const HELP = `
Usage
  $ yuccasail <command> [options]

Commands
  check       Check settings and object files without applying them

"yuccasail <command> --help" tells more. docs/operators/ lists the exit codes.
`;

type Run = (argv: readonly string[]) => Promise<Exit>;

const COMMANDS: Readonly<Record<string, () => Promise<Run>>> = {
  check: async () => (await import('./check/index.js')).runCheck,
};

async function main(): Promise<Exit> {
  const { command, input, showHelp } = parseCommandLine({
    help: HELP,
    argv: process.argv.slice(2),
    flags: {},
    commands: Object.keys(COMMANDS),
  });
  const load = command === undefined ? undefined : COMMANDS[command];
  if (load === undefined) return showHelp(EXITS.usage.code);
  const run = await load();
  return run(input);
}

main().then(
  (exit) => {
    process.exitCode = EXITS[exit].code;
  },
  (error: unknown) => {
    console.error(error);
    process.exitCode = EXITS.unexpected.code;
  },
);
