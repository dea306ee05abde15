import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtemp, readFile, rm, symlink } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';
import { After, Then, When } from '@cucumber/cucumber';
import { parse } from 'smol-toml';
import * as z from 'zod';

interface StartingWorld {
  /** Separate build output, so that other scenarios keep theirs. */
  buildFolder?: string;
  runOptions: string[];
}

const run = promisify(execFile);
const deploySchema = z.object({
  build: z.string(),
  roles: z.object({ gateway: z.object({ run: z.string() }) }),
});
/** Inputs of the build. */
const SOURCES = ['node_modules', 'package.json', 'tsconfig.json', 'platform', 'scripts', 'src'];
const CHECK = `
const { compileGateway } = await import('./scripts/gateway-loader.mjs');
const { readFileSync } = await import('node:fs');
const file = 'target/yuccasail-gateway.cjs';
const code = readFileSync(file + '.cache');
console.log(compileGateway(readFileSync(file, 'utf8'), file, code).script.cachedDataRejected);
`;

function nodeOptionsOf(command: string, program: string): string[] {
  const words = command.split(' ');
  const end = words.indexOf(program);
  return words.slice(words.lastIndexOf('node', end) + 1, end);
}

async function isRefused(
  { buildFolder: builtIn }: StartingWorld,
  options: string[],
): Promise<boolean> {
  const args = [...options, '--input-type=module', '--eval', CHECK];
  const { stdout } = await run(process.execPath, args, { cwd: builtIn });
  return stdout.trim() === 'true';
}

When('the gateway is built as the deploy file says', async function (this: StartingWorld) {
  const deploy = deploySchema.parse(parse(await readFile('deploy/system.toml', 'utf8')));
  this.runOptions = nodeOptionsOf(deploy.roles.gateway.run, 'target/yuccasail-gateway.mjs');
  const buildOptions = nodeOptionsOf(deploy.build, 'scripts/build-gateway.mjs');
  this.buildFolder = await mkdtemp(join(tmpdir(), 'yuccasail-build-'));
  for (const name of SOURCES) await symlink(resolve(name), join(this.buildFolder, name));
  await run(process.execPath, [...buildOptions, 'scripts/build-gateway.mjs'], {
    cwd: this.buildFolder,
  });
});

Then(
  'V8 takes its compiled code under the options of the deploy file',
  async function (this: StartingWorld) {
    assert.equal(await isRefused(this, this.runOptions), false);
  },
);

Then('V8 refuses it under other options of the heap', async function (this: StartingWorld) {
  assert.equal(await isRefused(this, ['--max-semi-space-size=3']), true);
});

After(async function (this: StartingWorld) {
  if (this.buildFolder !== undefined) await rm(this.buildFolder, { recursive: true, force: true });
});
