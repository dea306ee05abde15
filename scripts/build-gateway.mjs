// Bundles the gateway with the platform's dialects to one script under target/, with the code that
// V8 has compiled for it, and the loader that runs both.
import { copyFile, mkdir, readFile, writeFile } from 'node:fs/promises';
import { setFlagsFromString } from 'node:v8';
import { build } from 'esbuild';
import { compileGateway } from './gateway-loader.mjs';
import { gatewayBundle } from './gateway-bundle.mjs';

const SCRIPT = 'target/yuccasail-gateway.cjs';

// What is there stays until it is written anew: another build may run beside this one.
await mkdir('target', { recursive: true });
await build({
  ...gatewayBundle,
  outfile: SCRIPT,
  // Identifiers are kept: names of functions stand in the stack traces of the log, and restoring them
  // takes a call for each function at a start.
  minifyWhitespace: true,
  minifySyntax: true,
});
await copyFile('scripts/gateway-loader.mjs', 'target/yuccasail-gateway.mjs');
// All functions are compiled, not only those that are used while the modules are evaluated: the first
// requests after a start need most of them. V8 takes code back only under the flags of its making,
// which is why they are reset before it is written.
setFlagsFromString('--no-lazy');
setFlagsFromString('--no-flush-bytecode');
const { script, load } = compileGateway(await readFile(SCRIPT, 'utf8'), SCRIPT);
load();
setFlagsFromString('--lazy');
setFlagsFromString('--flush-bytecode');
await writeFile(`${SCRIPT}.cache`, script.createCachedData());
