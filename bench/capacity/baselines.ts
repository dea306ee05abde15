/**
 * What processes without control hold: bare Node, and the request path alone.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import { startMeasured, type MemoryUse } from './measured-process.js';

/** Memory of the processes that an entry is compared with. */
export interface Baselines {
  bareNode: MemoryUse;
  requestPath: MemoryUse;
}

const SETTLE_MS = 1_000;
const BANNER = {
  js: "import { createRequire as r } from 'node:module'; const require = r(import.meta.url);",
};

/** The request path is bundled as the program is, so that loaders of sources don't count. */
export async function measureBaselines(): Promise<Baselines> {
  const folder = await mkdtemp(join(tmpdir(), 'yuccasail-capacity-'));
  const outfile = join(folder, 'request-path.mjs');
  await build({
    entryPoints: [fileURLToPath(new URL('request-path.ts', import.meta.url))],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    banner: BANNER,
  });
  const bareNode = await measureMemory(['-e', 'setInterval(() => 0, 1e6)'], false);
  const requestPath = await measureMemory([outfile], true);
  await rm(folder, { recursive: true, force: true });
  return { bareNode, requestPath };
}

async function measureMemory(args: readonly string[], announces: boolean): Promise<MemoryUse> {
  const measured = await startMeasured(args, announces);
  await sleep(SETTLE_MS);
  const memory = await measured.readMemory();
  await measured.stop();
  return memory;
}
