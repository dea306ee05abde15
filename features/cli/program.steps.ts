import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { runProgram, type Run } from './program.js';

/** A step waits for the program's end; this bounds one that hangs. */
const PROGRAM_TIMEOUT_MS = 60_000;

interface ProgramWorld {
  run: Run;
  objectFolder?: string;
  objectFile: string;
}

Given('an object file with:', async function (this: ProgramWorld, text: string) {
  this.objectFolder = await mkdtemp(join(tmpdir(), 'yuccasail-'));
  this.objectFile = join(this.objectFolder, 'objects.toml');
  await writeFile(this.objectFile, text);
});

When(
  'the program is run with {string}',
  { timeout: PROGRAM_TIMEOUT_MS },
  async function (this: ProgramWorld, args: string) {
    this.run = await runProgram(args.split(' '));
  },
);

When(
  'the program checks the object file',
  { timeout: PROGRAM_TIMEOUT_MS },
  async function (this: ProgramWorld) {
    this.run = await runProgram(['check', this.objectFile]);
  },
);

Then(
  'the program exits with {int} and prints {string}',
  function (this: ProgramWorld, code: number, text: string) {
    assert.equal(this.run.code, code, this.run.stderr);
    assert.ok(this.run.stdout.includes(text), this.run.stdout);
  },
);

Then(
  /^the program exits with (\d+) and complains of "(.+)"$/,
  function (this: ProgramWorld, code: string, text: string) {
    assert.equal(this.run.code, Number(code), this.run.stdout);
    assert.ok(this.run.stderr.includes(text), this.run.stderr);
  },
);

After({ tags: '@object-file' }, async function (this: ProgramWorld) {
  if (this.objectFolder !== undefined)
    await rm(this.objectFolder, { recursive: true, force: true });
});
