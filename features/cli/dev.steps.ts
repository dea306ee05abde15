import assert from 'node:assert/strict';
import type { ChildProcess } from 'node:child_process';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { request } from 'undici';
import { collectRun, startProgram, type Run } from './program.js';

interface Answer {
  line: string;
  status: number;
  text: string;
}

interface DevWorld {
  run: Run;
  child?: ChildProcess;
  ended: Promise<Run>;
  output: string;
  answers: Answer[];
  signalledAt: number;
  goneAfterMs: number;
}

const LAST_LINE = 'Ctrl-C stops everything.';

/** Resolves once `child` has written `text`, with all that it wrote until then. */
function waitForOutput(child: ChildProcess, text: string): Promise<string> {
  let output = '';
  return new Promise((resolve, reject) => {
    child.stdout?.on('data', (chunk: Buffer) => {
      output += chunk.toString();
      if (output.includes(text)) resolve(output);
    });
    child.once('close', (code) => {
      reject(new Error(`it ended with ${String(code)}: ${output}`));
    });
  });
}

/** Sends what a printed `curl` line asks for; only the flags that the program prints are known. */
async function sendCurlLine(line: string): Promise<Answer> {
  const url = /http:\/\/\S+/.exec(line)?.[0] ?? '';
  const headers = [...line.matchAll(/-H '([^:]+): ([^']+)'/g)].map(([, name, value]) => [
    name ?? '',
    value ?? '',
  ]);
  const body = /-d '([^']+)'/.exec(line)?.[1];
  const method = body === undefined ? 'GET' : 'POST';
  const answer = await request(url, {
    method,
    headers: Object.fromEntries(headers) as Record<string, string>,
    ...(body === undefined ? {} : { body }),
  });
  return { line, status: answer.statusCode, text: await answer.body.text() };
}

Given('development mode is running', { timeout: 60_000 }, async function (this: DevWorld) {
  this.child = startProgram(['dev']);
  this.ended = collectRun(this.child);
  this.output = await waitForOutput(this.child, LAST_LINE);
});

When(
  'every curl line that it printed is sent',
  { timeout: 30_000 },
  async function (this: DevWorld) {
    const lines = this.output.split('\n').filter((line) => line.startsWith('curl '));
    assert.ok(lines.length >= 6, this.output);
    this.answers = [];
    for (const line of lines) this.answers.push(await sendCurlLine(line));
  },
);

Then('every answer to a printed line is a success', function (this: DevWorld) {
  for (const { line, status, text } of this.answers) {
    assert.ok(status >= 200 && status < 300, `${status} for ${line}: ${text}`);
  }
});

Then('the printed completion line gave a whole stream', function (this: DevWorld) {
  const completion = this.answers.find(({ line }) => line.includes('/v1/chat/completions'));
  assert.ok(completion?.text.endsWith('data: [DONE]\n\n'), completion?.text);
});

When('the running program gets SIGTERM', function (this: DevWorld) {
  this.signalledAt = performance.now();
  this.child?.kill('SIGTERM');
});

Then('the running program exits with {int}', async function (this: DevWorld, code: number) {
  const run = await this.ended;
  this.goneAfterMs = performance.now() - this.signalledAt;
  assert.equal(run.code, code, run.stderr);
});

Then(
  'it was gone within {int} ms of the signal, though its watches wait for twice as long',
  function (this: DevWorld, mostMs: number) {
    assert.ok(this.goneAfterMs < mostMs, `it took ${Math.round(this.goneAfterMs)} ms`);
  },
);

Then('the program has printed no address', function (this: DevWorld) {
  assert.equal(this.run.stdout, '');
});

After({ tags: '@running-program' }, function (this: DevWorld) {
  this.child?.kill('SIGKILL');
});
