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
  dev         Run a whole site on this machine and show an answer
  entry       Run an entry
  check       Check settings and object files without applying them
  apply       Write objects from files and wait until they are in force everywhere
  get         Show objects
  label       Set and remove labels
  status      Show what an entry sees
  drain       Take a backend server out of service so that it may be stopped
  explain     Tell from gateways' logs why a request ended as it did
  diagnose    Tell from gateways' logs why requests were late or not served
  load        Put open-loop load on entries and sum up the answers
  stand-in    Run a stand-in for the platform, an engine, a service, a weight store or a poor link

"yuccasail <command> --help" tells more. docs/operators/ lists the exit codes.
`;

type Run = (argv: readonly string[]) => Promise<Exit>;

const COMMANDS: Readonly<Record<string, () => Promise<Run>>> = {
  apply: async () => (await import('./apply/index.js')).runApply,
  drain: async () => (await import('./drain/index.js')).runDrain,
  get: async () => (await import('./get/index.js')).runGet,
  label: async () => (await import('./label/index.js')).runLabel,
  status: async () => (await import('./status/index.js')).runStatus,
  check: async () => (await import('./check/index.js')).runCheck,
  dev: async () => (await import('./dev/index.js')).runDev,
  entry: async () => (await import('./entry/index.js')).runEntry,
  diagnose: async () => (await import('./diagnose/index.js')).runDiagnose,
  explain: async () => (await import('./explain/index.js')).runExplain,
  load: async () => (await import('./load/index.js')).runLoadCommand,
  'stand-in': async () => (await import('./stand-in/index.js')).runStandIn,
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
