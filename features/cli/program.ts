/**
 * Runs the program as a process of its own and collects what it says.
 */
import { spawn, type ChildProcess } from 'node:child_process';

/** How a run of the program ended. */
export interface Run {
  code: number | null;
  stdout: string;
  stderr: string;
}

/** Starts `yuccasail <args>` from its sources. */
export function startProgram(args: readonly string[]): ChildProcess {
  return spawn(process.execPath, ['--import', 'tsx', 'src/cli/main.ts', ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, NODE_OPTIONS: '' },
  });
}

/** Collects the output of `child` until it ends. */
export function collectRun(child: ChildProcess): Promise<Run> {
  const run: Run = { code: null, stdout: '', stderr: '' };
  child.stdout?.on('data', (chunk: Buffer) => (run.stdout += chunk.toString()));
  child.stderr?.on('data', (chunk: Buffer) => (run.stderr += chunk.toString()));
  return new Promise((resolve, reject) => {
    child.once('error', reject);
    child.once('close', (code) => {
      resolve({ ...run, code });
    });
  });
}

/** Runs `yuccasail <args>` to its end. */
export function runProgram(args: readonly string[]): Promise<Run> {
  return collectRun(startProgram(args));
}
