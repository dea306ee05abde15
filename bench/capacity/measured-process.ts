/**
 * A process under measurement: what it has used of the machine, from outside.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';

/** What a process has used since it started. */
export interface Usage {
  processorMs: number;
  /** Bytes read and written by system calls: sockets, and next to nothing else once it runs. */
  readBytes: number;
  writtenBytes: number;
}

/** What a process holds, after a collection of garbage. */
export interface MemoryUse {
  heapBytes: number;
  residentBytes: number;
}

export interface MeasuredProcess {
  /** The line of JSON that it printed when it was up; empty for a bare process. */
  announced: Readonly<Record<string, unknown>>;
  readUsage(): Usage;
  readMemory(): Promise<MemoryUse>;
  stop(): Promise<void>;
}

/** The kernel counts processor time in hundredths of a second. */
const TICK_MS = 10;
/** Places in /proc/PID/stat, counted behind the name in parentheses. */
const USER_TICKS_AT = 11;
const SYSTEM_TICKS_AT = 12;
const PRELOAD = new URL('report-memory.mjs', import.meta.url).href;

/** Starts Node with `args`, and waits for its announcement when it makes one. */
export async function startMeasured(
  args: readonly string[],
  announces: boolean,
): Promise<MeasuredProcess> {
  const child = spawn(process.execPath, ['--import', PRELOAD, ...args], {
    stdio: ['ignore', 'pipe', 'ignore', 'ipc'],
  });
  const announced = announces ? await readAnnouncement(child) : {};
  return {
    announced,
    readUsage: () => readUsage(child.pid ?? 0),
    readMemory: async () => {
      const answer = once(child, 'message');
      child.kill('SIGUSR2');
      const [memory] = (await answer) as [MemoryUse];
      return memory;
    },
    stop: async () => {
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    },
  };
}

async function readAnnouncement(child: ChildProcess): Promise<Readonly<Record<string, unknown>>> {
  if (child.stdout === null) throw new Error('the process has no output');
  for await (const line of createInterface({ input: child.stdout })) {
    if (!line.startsWith('{')) continue;
    child.stdout.resume();
    return JSON.parse(line) as Readonly<Record<string, unknown>>;
  }
  throw new Error('the process ended before it was up');
}

function readUsage(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_AT]) + Number(fields[SYSTEM_TICKS_AT]);
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  return {
    processorMs: ticks * TICK_MS,
    readBytes: Number(/^rchar: (\d+)/m.exec(io)?.[1]),
    writtenBytes: Number(/^wchar: (\d+)/m.exec(io)?.[1]),
  };
}
