import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { request } from 'undici';
import { waitFor } from '../support/waiting.js';
import type { ProxyControl, ProxyCounters } from '../../src/stand-ins/proxy/index.js';
import { modelWrite, openClient, openPlatform, type PlatformWorld } from './fixture.js';

const LARGE_CALL_TIMEOUT_MS = 10_000;

async function controlProxy(world: PlatformWorld, control: ProxyControl): Promise<void> {
  const result = await world.proxy?.control(control);
  assert.ok(result?.isOk());
}

Given(
  'a platform stand-in and a client of it through the proxy',
  async function (this: PlatformWorld) {
    await openPlatform(this, true);
  },
);

Given('the proxy cuts the way to the source', async function (this: PlatformWorld) {
  await controlProxy(this, { cut: 'toSource' });
});

Given('the proxy cuts the way to the target', async function (this: PlatformWorld) {
  await controlProxy(this, { cut: 'toTarget' });
});

Given(
  "the proxy's control route is told {string}",
  async function (this: PlatformWorld, control: string) {
    const url = `http://${this.proxy?.controlAddress ?? ''}/control`;
    const response = await request(url, { method: 'POST', body: control });
    await response.body.dump();
    assert.equal(response.statusCode, 200);
  },
);

Then("the proxy's control route counts swallowed bytes", async function (this: PlatformWorld) {
  const url = `http://${this.proxy?.controlAddress ?? ''}/control/counters`;
  const counters = (await (await request(url)).body.json()) as ProxyCounters;
  assert.ok(counters.swallowedBytes > 0);
});

Given('the proxy holds what the next connection sends', async function (this: PlatformWorld) {
  await controlProxy(this, { holdNext: 1 });
});

Given(
  'the proxy delays by {int} ms each way and passes {int} bytes a second',
  async function (this: PlatformWorld, delayMs: number, bytesPerSecond: number) {
    const direction = { delayMs, bytesPerSecond };
    await controlProxy(this, { toTarget: direction, toSource: direction });
  },
);

Given(
  '{int} calls at once have left their connections open',
  async function (this: PlatformWorld, calls: number) {
    assert.equal(await countAnswers(this, calls), calls);
  },
);

Given(
  'the proxy keeps back everything on the connections open now',
  async function (this: PlatformWorld) {
    await controlProxy(this, { hold: 'both' });
  },
);

When('one call gets no answer', async function (this: PlatformWorld) {
  assert.equal(await countAnswers(this, 1), 0);
});

Then(
  '{int} further calls at once are all answered',
  async function (this: PlatformWorld, calls: number) {
    assert.equal(await countAnswers(this, calls), calls);
  },
);

When('the proxy passes everything again', async function (this: PlatformWorld) {
  await controlProxy(this, { cut: 'none' });
});

When(
  'object {string} changes at the platform and the proxy swallows the news',
  async function (this: PlatformWorld, name: string) {
    // Before the second watch reaches the platform, the change would still be sent to the first.
    await waitFor('the waiting watch', () => this.platform.counters().watch >= 2);
    this.platform.put('model', name, {});
    await waitFor('swallowed bytes', () => (this.proxy?.counters().swallowedBytes ?? 0) > 0);
  },
);

When('the proxy refuses new connections', async function (this: PlatformWorld) {
  await controlProxy(this, { refuse: true });
});

When(
  'the proxy breaks the next connection after {int} bytes of its answer',
  async function (this: PlatformWorld, afterBytes: number) {
    await controlProxy(this, { toSource: { breakAfter: { afterBytes } } });
  },
);

When(
  'the proxy releases what it holds and the platform has counted {int} writes',
  async function (this: PlatformWorld, writes: number) {
    await controlProxy(this, { release: true });
    await waitFor('the late write', () => this.platform.counters().write === writes);
  },
);

When(
  'an object of {int} bytes is written and read back',
  async function (this: PlatformWorld, bytes: number) {
    const client = openClient(this.proxy?.address ?? '', LARGE_CALL_TIMEOUT_MS);
    const value = Array.from({ length: bytes / 10 }, (_, index) => String(index).padStart(7, '0'));
    const startedAt = performance.now();
    const written = await client.write({ ...modelWrite('m', 0, 'n1'), value });
    const read = await client.read('model', 'm');
    this.elapsedMs = performance.now() - startedAt;
    await client.close();
    assert.ok(written.isOk());
    assert.deepEqual(read._unsafeUnwrap()?.value, value);
  },
);

Then('it is the same and took at least {int} ms', function (this: PlatformWorld, minMs: number) {
  assert.ok(this.elapsedMs >= minMs, `took ${this.elapsedMs} ms`);
});

async function countAnswers({ client }: PlatformWorld, calls: number): Promise<number> {
  const reads = Array.from({ length: calls }, () => client.read('policy', 'default'));
  const answers = await Promise.all(reads);
  return answers.filter((answer) => answer.isOk()).length;
}
