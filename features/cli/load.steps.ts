import assert from 'node:assert/strict';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { generateArrivals } from '../../src/cli/load/arrivals.js';
import { loadPlanSchema, type LoadPlan } from '../../src/cli/load/plan.js';
import type { StreamSummary } from '../../src/cli/load/recorder.js';
import { runLoad } from '../../src/cli/load/run.js';
import { createRandom } from '../../src/core/random/index.js';

interface LoadWorld {
  callerServer?: Server;
  mostOpen: number;
  summary: StreamSummary;
}

const TOKEN = 'data: {"choices":[{"index":0,"delta":{"content":"a"}}]}\n\n';

async function serveStreams(
  world: LoadWorld,
  answer: (response: ServerResponse) => void,
): Promise<void> {
  let open = 0;
  world.mostOpen = 0;
  const server = createServer((request, response) => {
    request.resume();
    open += 1;
    world.mostOpen = Math.max(world.mostOpen, open);
    response.once('close', () => (open -= 1));
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    answer(response);
  });
  world.callerServer = server;
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
}

function createPlan(rate: number, seconds: number): LoadPlan {
  const stream = [{ name: 'gate', key: 'key', model: 'pass-assistant', promptWords: 8 }];
  return loadPlanSchema.parse({ rate, seconds, seed: 3, stream });
}

Given(
  'a caller address that answers whole after {int} ms',
  async function (this: LoadWorld, delayMs: number) {
    await serveStreams(this, (response) => {
      setTimeout(() => response.end(`${TOKEN}data: [DONE]\n\n`), delayMs);
    });
  },
);

Given('a caller address that breaks streams off', async function (this: LoadWorld) {
  await serveStreams(this, (response) => {
    response.write(TOKEN, () => response.destroy());
  });
});

Given(
  'a caller address that ends streams with an error event {string}',
  async function (this: LoadWorld, kind: string) {
    await serveStreams(this, (response) => {
      response.end(`${TOKEN}event: error\ndata: {"error":{"kind":"${kind}"}}\n\n`);
    });
  },
);

When(
  'load is put on it with {int} requests a second for {int} second',
  async function (this: LoadWorld, rate: number, seconds: number) {
    const { port } = this.callerServer?.address() as AddressInfo;
    const [summary] = await runLoad(createPlan(rate, seconds), [`127.0.0.1:${port}`]);
    assert.ok(summary);
    this.summary = summary;
  },
);

Then('at least {int} load requests were open at once', function (this: LoadWorld, least: number) {
  assert.ok(this.mostOpen >= least, `${this.mostOpen} were open`);
});

Then(
  'every load request is counted as whole with a total of at least {int} ms',
  function (this: LoadWorld, leastMs: number) {
    const { requests, whole, total } = this.summary;
    assert.ok(requests > 0);
    assert.equal(whole, requests);
    assert.ok(total.p50 >= leastMs, `${total.p50}`);
  },
);

Then('every load request is counted as cut', function (this: LoadWorld) {
  assert.ok(this.summary.requests > 0);
  assert.equal(this.summary.cut, this.summary.requests);
});

Then(
  'every load request is counted as the error {string}',
  function (this: LoadWorld, kind: string) {
    assert.ok(this.summary.requests > 0);
    assert.equal(this.summary.errors[kind], this.summary.requests);
  },
);

Then(
  'load arrivals are the same for the same seed and follow the rate within a tenth',
  function () {
    const plan = createPlan(200, 60);
    const once = [...generateArrivals(plan, createRandom(plan.seed))];
    const again = [...generateArrivals(plan, createRandom(plan.seed))];
    assert.deepEqual(again, once);
    assert.ok(Math.abs(once.length / 12_000 - 1) < 0.1, `${once.length} arrivals`);
  },
);

After({ tags: '@load-tool' }, function (this: LoadWorld) {
  this.callerServer?.closeAllConnections();
  this.callerServer?.close();
});
