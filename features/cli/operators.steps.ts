import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { request } from 'undici';
import { runProgram, type Run } from './program.js';

interface OperatorsWorld {
  /** What development mode printed. */
  output: string;
  /** Takes the place of an entry. */
  standInEntry?: Server;
  operatorsFolder?: string;
  operatorsFile: string;
  operatorsRun: Run;
}

const COMMAND_TIMEOUT_MS = 60_000;

async function startStandInEntry(
  world: OperatorsWorld,
  answerWrite: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<void> {
  const server = createServer((incoming, response) => {
    incoming.resume();
    incoming.once('end', () => {
      if (incoming.method === 'GET') sendError(response, 404, { kind: 'objectUnknown' });
      else answerWrite(incoming, response);
    });
  });
  world.standInEntry = server;
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
}

function sendError(response: ServerResponse, status: number, error: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ error: { message: 'as told', ...error } }));
}

function findOperatorsAddress({ output, standInEntry }: OperatorsWorld): string {
  if (standInEntry !== undefined) {
    return `127.0.0.1:${(standInEntry.address() as AddressInfo).port}`;
  }
  return /curl http:\/\/(\S+)\/status/.exec(output)?.[1] ?? '';
}

Given("an operators' file with:", async function (this: OperatorsWorld, text: string) {
  this.operatorsFolder = await mkdtemp(join(tmpdir(), 'yuccasail-'));
  this.operatorsFile = join(this.operatorsFolder, 'objects.toml');
  await writeFile(this.operatorsFile, text);
});

Given(
  'the platform lists an entry {string} that nobody hears',
  async function (this: OperatorsWorld, name: string) {
    const platform = /platform's stand-in is at (\S+)\./.exec(this.output)?.[1] ?? '';
    const value = {
      role: 'entry',
      address: '127.0.0.1:9',
      peerAddress: '127.0.0.1:9',
      failureDomain: 'garut',
    };
    const answer = await request(`http://${platform}/objects/instance/${name}`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ expected: 0, nonce: 'feature', value }),
    });
    assert.equal(answer.statusCode, 200, await answer.body.text());
  },
);

Given(
  "an entry whose operators' API answers a write with a conflict won by version {int}",
  async function (this: OperatorsWorld, won: number) {
    await startStandInEntry(this, (_, response) => {
      const message = `"pass-assistant" was changed by someone else; version ${won} won.`;
      sendError(response, 409, { kind: 'versionConflict', message });
    });
  },
);

Given(
  "an entry whose operators' API closes the connection on a write",
  async function (this: OperatorsWorld) {
    await startStandInEntry(this, (incoming) => {
      incoming.socket.destroy();
    });
  },
);

When(
  'an operator runs {string}',
  { timeout: COMMAND_TIMEOUT_MS },
  async function (this: OperatorsWorld, text: string) {
    const args = text.replace('{file}', this.operatorsFile).split(' ');
    this.operatorsRun = await runProgram([...args, '--operators', findOperatorsAddress(this)]);
  },
);

When(
  'an operator runs {string} against an address where nothing listens',
  { timeout: COMMAND_TIMEOUT_MS },
  async function (this: OperatorsWorld, text: string) {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    await new Promise((resolve) => server.close(resolve));
    this.operatorsRun = await runProgram([...text.split(' '), '--operators', address]);
  },
);

Then("the operator's command leaves nothing in doubt", function (this: OperatorsWorld) {
  assert.ok(!this.operatorsRun.stderr.includes('may have been made'), this.operatorsRun.stderr);
});

Then(
  /^the operator's command exits with (\d+) and prints "(.+)"$/,
  function (this: OperatorsWorld, code: string, text: string) {
    const { code: exit, stdout, stderr } = this.operatorsRun;
    assert.equal(exit, Number(code), `${stdout}${stderr}`);
    assert.ok(stdout.includes(text), stdout);
  },
);

Then(
  /^the operator's command exits with (\d+) and complains of "(.+)"$/,
  function (this: OperatorsWorld, code: string, text: string) {
    const { code: exit, stdout, stderr } = this.operatorsRun;
    assert.equal(exit, Number(code), `${stdout}${stderr}`);
    assert.ok(stderr.includes(text), stderr);
  },
);

After({ tags: '@running-program' }, async function (this: OperatorsWorld) {
  this.standInEntry?.closeAllConnections();
  this.standInEntry?.close();
  if (this.operatorsFolder === undefined) return;
  await rm(this.operatorsFolder, { recursive: true, force: true });
});
