// Bundles the gateway with the platform's dialects to one script under target/, with the code that
// V8 has compiled for it, and the loader that runs both.
import { copyFile, readFile, rm, writeFile } from 'node:fs/promises';
import { build } from 'esbuild';
import { compileGateway } from './gateway-loader.mjs';

const SCRIPT = 'target/yuccasail-gateway.cjs';

await rm('target', { recursive: true, force: true });
await build({
  entryPoints: { 'yuccasail-gateway': 'platform/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  minify: true,
  // Names of functions stand in the stack traces of the log.
  keepNames: true,
  platform: 'node',
  target: 'node20',
  // A script, because only scripts can be run from compiled code.
  format: 'cjs',
  logLevel: 'warning',
});
await copyFile('scripts/gateway-loader.mjs', 'target/yuccasail-gateway.mjs');
// Once the modules have been evaluated, the functions that they use on the way are compiled too.
const { script, load } = compileGateway(await readFile(SCRIPT, 'utf8'), SCRIPT);
load();
await writeFile(`${SCRIPT}.cache`, script.createCachedData());
