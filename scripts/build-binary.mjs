// Makes dist/yuccasail, one executable with Node in it: one CommonJS file, Node's own preparation of
// a single executable application, and a copy of the running Node with that file put in.
import { spawnSync } from 'node:child_process';
import { chmod, copyFile, mkdir, readFile, writeFile } from 'node:fs/promises';
import { build } from 'esbuild';
import postject from 'postject';

const FOLDER = 'dist/binary';
const PROGRAM = `${FOLDER}/yuccasail.cjs`;
const CONFIG = `${FOLDER}/sea-config.json`;
const BLOB = `${FOLDER}/yuccasail.blob`;
const BINARY = 'dist/yuccasail';
/** Node looks for this mark in its own executable. */
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

await mkdir(FOLDER, { recursive: true });
await build({
  entryPoints: ['src/cli/main.ts'],
  outfile: PROGRAM,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  logLevel: 'warning',
  // CommonJS has no import.meta; the file's own path stands for it.
  define: { 'import.meta': 'importMeta' },
  banner: {
    js: "const importMeta = { url: require('node:url').pathToFileURL(__filename).href };",
  },
});

const config = { main: PROGRAM, output: BLOB, disableExperimentalSEAWarning: true };
await writeFile(CONFIG, JSON.stringify(config));
const prepared = spawnSync(process.execPath, ['--experimental-sea-config', CONFIG], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
if (prepared.status !== 0) process.exit(1);

await copyFile(process.execPath, BINARY);
await chmod(BINARY, 0o755);
await postject.inject(BINARY, 'NODE_SEA_BLOB', await readFile(BLOB), { sentinelFuse: FUSE });

const version = spawnSync(`./${BINARY}`, ['--version'], { encoding: 'utf8' });
if (version.status !== 0) {
  console.error(`The binary does not run: ${version.stderr}`);
  process.exit(1);
}
console.log(`${BINARY} ${version.stdout.trim()}`);
