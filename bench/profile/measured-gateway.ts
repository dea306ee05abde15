/**
 * One gateway as a process of its own, with what it uses of the processor and of memory.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';
import { writeSettings } from '../../features/gateway/site.js';
import { nextAddress } from '../../features/support/ports.js';
import { gatewayBundle } from '../../scripts/gateway-bundle.mjs';

/** Where the gateway listens. */
export interface GatewayAddresses {
  callers: string;
  readiness: string;
  peers: string;
  metrics: string;
}

export interface MeasuredGatewayOptions {
  name: string;
  failureDomain: string;
  store: string;
  seeds: string[];
  /** Samples its functions, which takes processor time of its own. */
  samplesFunctions: boolean;
}

/** A function with the processor time that was sampled in it, without those that it calls. */
export interface FunctionCost {
  name: string;
  ms: number;
}

const PRODUCTION = 'target/yuccasail-gateway.mjs';
const READABLE = 'target/profile/gateway.cjs';
/** As the platform starts it. */
const RUNTIME_FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=2', '--v8-pool-size=1'];
const NS_PER_MS = 1e6;
const KB_PER_MB = 1_024;

/** Builds the gateway with the names of its functions, for samples. */
export async function buildReadable(): Promise<void> {
  await build({
    ...gatewayBundle,
    outfile: READABLE,
    // The program's own entry is a function that its loader calls.
    footer: { js: 'module.exports.run(process.argv[2]);' },
  });
}

/** The process; `close` ends it and gives the samples, if there are any. */
export class MeasuredGateway {
  readonly addresses: GatewayAddresses = {
    callers: nextAddress(),
    readiness: nextAddress(),
    peers: nextAddress(),
    metrics: nextAddress(),
  };
  private child: ChildProcess | undefined;
  private folder = '';

  constructor(private readonly options: MeasuredGatewayOptions) {}

  async start(): Promise<void> {
    this.folder = await mkdtemp(join(tmpdir(), 'profile-'));
    const file = join(this.folder, 'settings.toml');
    await writeFile(file, writeSettings({ ...this.options, ...this.addresses }));
    const { samplesFunctions } = this.options;
    const sampling = ['--cpu-prof', `--cpu-prof-dir=${this.folder}`];
    const flags = samplesFunctions ? [...RUNTIME_FLAGS, ...sampling] : RUNTIME_FLAGS;
    const script = samplesFunctions ? READABLE : PRODUCTION;
    this.child = spawn(process.execPath, [...flags, script, file], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
  }

  /** Processor time of all its threads since its start, in milliseconds. */
  async readProcessorMs(): Promise<number> {
    const tasks = `/proc/${this.pid}/task`;
    const times = (await readdir(tasks)).map(async (task) => {
      const line = await readFile(`${tasks}/${task}/schedstat`, 'utf8');
      return Number(line.split(' ')[0]);
    });
    const sum = (await Promise.all(times)).reduce((total, ns) => total + ns, 0);
    return sum / NS_PER_MS;
  }

  /** Memory that no other process shares, in megabytes. */
  async readPrivateMb(): Promise<number> {
    const rollup = await readFile(`/proc/${this.pid}/smaps_rollup`, 'utf8');
    return Number(/^Private_Dirty:\s+(\d+)/m.exec(rollup)?.[1]) / KB_PER_MB;
  }

  private get pid(): number {
    if (this.child?.pid === undefined) throw new Error('the gateway does not run');
    return this.child.pid;
  }

  async close(): Promise<FunctionCost[]> {
    const { child } = this;
    if (child === undefined) return [];
    this.child = undefined;
    const exited = once(child, 'exit');
    child.kill('SIGTERM');
    await exited;
    const profile = (await readdir(this.folder)).find((name) => name.endsWith('.cpuprofile'));
    const costs = profile ? sumSamples(await readFile(join(this.folder, profile), 'utf8')) : [];
    await rm(this.folder, { recursive: true, force: true });
    return costs;
  }
}

interface CpuProfile {
  nodes: { id: number; callFrame: { functionName: string; lineNumber: number } }[];
  samples: number[];
  /** Microseconds. */
  timeDeltas: number[];
}

const US_PER_MS = 1_000;

function sumSamples(text: string): FunctionCost[] {
  const profile = JSON.parse(text) as CpuProfile;
  const names = new Map(
    profile.nodes.map(({ id, callFrame }) => [
      id,
      `${callFrame.functionName || '(anonymous)'}:${callFrame.lineNumber}`,
    ]),
  );
  const sums = new Map<string, number>();
  profile.samples.forEach((id, index) => {
    const name = names.get(id) ?? '';
    const ms = (profile.timeDeltas[index] ?? 0) / US_PER_MS;
    sums.set(name, (sums.get(name) ?? 0) + ms);
  });
  return [...sums]
    .map(([name, ms]) => ({ name, ms }))
    .filter(({ name }) => !name.startsWith('(idle)') && !name.startsWith('(program)'))
    .sort((a, b) => b.ms - a.ms);
}
