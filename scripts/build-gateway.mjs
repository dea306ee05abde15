// Bundles the gateway with the platform's dialects to one file under target/.
import { rm } from 'node:fs/promises';
import { build } from 'esbuild';

await rm('target', { recursive: true, force: true });
await build({
  entryPoints: { 'yuccasail-gateway': 'platform/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  minify: true,
  // Names of functions stand in the stack traces of the log.
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  logLevel: 'warning',
  // Some CommonJS dependencies call require() for Node's own modules.
  banner: {
    js: "import { createRequire as nodeCreateRequire } from 'node:module'; const require = nodeCreateRequire(import.meta.url);",
  },
});
