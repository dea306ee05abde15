/**
 * Starts the program's own processes for a scenario, and ends just these.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';

/** Those that still run; a scenario that failed half-way may have lost sight of some. */
const running = new Set<ChildProcess>();

/** Kills every process that was started here and still runs. */
export function killProcesses(): void {
  for (const child of running) child.kill('SIGKILL');
}

const PROGRAM = 'dist/yuccasail.mjs';
const KEPT_LOG_LINES = 400;
/** A folder for the whole log of each process, for tracing a scenario that fails now and then. */
const { KEEP_LOGS: LOG_FOLDER } = process.env;

/** A running process of the program. */
export interface Process {
  pid: number;
  /** What it printed as its one line of JSON when it was up. */
  announced: Readonly<Record<string, unknown>>;
  /** The last lines of its standard error. */
  logLines: readonly string[];
  /** Sends a signal; SIGSTOP freezes it and SIGCONT wakes it. */
  signal(name: NodeJS.Signals): void;
  /** Resolves with the exit code, or null when a signal ended it. */
  exited: Promise<number | null>;
  /** Kills it at once and waits for its end. */
  kill(): Promise<void>;
}

/**
 * Starts the program and waits for the line of JSON that says it is up.
 *
 * @example const platform = await startProcess(['stand-in', 'platform', '--listen', '127.0.0.1:0']);
 */
export async function startProcess(
  args: readonly string[],
  runtimeOptions: readonly string[] = [],
): Promise<Process> {
  const child = spawn(process.execPath, [...runtimeOptions, PROGRAM, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  running.add(child);
  keepLog(child, args);
  const logLines = collectLines(child);
  const exited = once(child, 'exit').then(([code]) => {
    running.delete(child);
    return code as number | null;
  });
  const announced = await Promise.race([readAnnouncement(child), exited.then(() => undefined)]);
  if (announced === undefined) {
    throw new Error(`"${args.join(' ')}" ended before it was up:\n${logLines.join('\n')}`);
  }
  return {
    pid: child.pid ?? 0,
    announced,
    logLines,
    exited,
    signal: (name) => child.kill(name),
    kill: async () => {
      child.kill('SIGKILL');
      await exited;
    },
  };
}

function keepLog(child: ChildProcess, args: readonly string[]): void {
  if (LOG_FOLDER === undefined || child.stderr === null) return;
  mkdirSync(LOG_FOLDER, { recursive: true });
  const file = createWriteStream(join(LOG_FOLDER, `${child.pid ?? 0}.log`));
  file.write(`${args.join(' ')}\n`);
  child.stderr.pipe(file);
}

function collectLines(child: ChildProcess): string[] {
  const lines: string[] = [];
  if (child.stderr === null) return lines;
  createInterface({ input: child.stderr }).on('line', (line) => {
    lines.push(line);
    if (lines.length > KEPT_LOG_LINES) lines.shift();
  });
  return lines;
}

async function readAnnouncement(
  child: ChildProcess,
): Promise<Readonly<Record<string, unknown>> | undefined> {
  if (child.stdout === null) return undefined;
  for await (const line of createInterface({ input: child.stdout })) {
    if (line.startsWith('{')) {
      child.stdout.resume();
      return JSON.parse(line) as Readonly<Record<string, unknown>>;
    }
  }
  return undefined;
}
