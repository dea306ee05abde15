// Bundles the program to dist/: a folder of modules for Node, each command loaded when it is called.
import { rm } from 'node:fs/promises';
import { build } from 'esbuild';

await rm('dist', { recursive: true, force: true });
await build({
  entryPoints: { yuccasail: 'src/cli/main.ts' },
  outdir: 'dist',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: 'linked',
  logLevel: 'warning',
  // Some CommonJS dependencies call require() for Node's own modules.
  banner: {
    js: "import { createRequire as nodeCreateRequire } from 'node:module'; const require = nodeCreateRequire(import.meta.url);",
  },
});
