/**
 * Steps of the scenarios that store call records over HTTP.
 */
import { After, Given } from '@cucumber/cucumber';
import { createPlatformClient, type PlatformClient } from '../../src/adapters/platform/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { createPlatformStandIn, type PlatformStandIn } from '../../src/stand-ins/platform/index.js';
import { createProxy, type Proxy, type ProxyControl } from '../../src/stand-ins/proxy/index.js';
import type { Link } from './fake-platform.js';
import { CallsFixture } from './fixture.js';

interface HttpWorld {
  onceCalls: CallsFixture;
  platform: PlatformStandIn;
  proxies: Map<string, Proxy>;
  clients: PlatformClient[];
}

const TIMEOUT_MS = 200;

Given(
  'entries {string} and {string} that reach one platform over HTTP, each through a proxy',
  async function (this: HttpWorld, first: string, second: string) {
    this.onceCalls = new CallsFixture();
    this.platform = (await createPlatformStandIn({ address: '127.0.0.1:0' }))._unsafeUnwrap();
    this.proxies = new Map();
    this.clients = [];
    for (const name of [first, second]) await startHttpEntry(this, name);
  },
);

async function startHttpEntry(world: HttpWorld, name: string): Promise<void> {
  const options = { listen: '127.0.0.1:0', target: world.platform.address };
  const proxy = (await createProxy(options))._unsafeUnwrap();
  const client = createPlatformClient({
    address: proxy.address,
    timeoutMs: TIMEOUT_MS,
    random: createRandom(3),
    logger: silentLogger,
  });
  world.proxies.set(name, proxy);
  world.clients.push(client);
  const noop = (): void => undefined;
  const link: Link = {
    platform: client,
    fault: 'none',
    deliverLateWrites: noop,
    releaseHeld: noop,
    pendingCount: () => 0,
  };
  world.onceCalls.startEntry(name, link);
}

// Runs before the hook in once-calls.steps.ts: entries can stop only while the platform runs.
After(async function (this: Partial<HttpWorld>) {
  if (!this.platform || !this.onceCalls) return;
  for (const proxy of this.proxies?.values() ?? []) await proxy.control(HEALTHY_PROXY);
  await Promise.all([...this.onceCalls.entries.values()].map(({ calls }) => calls.stop()));
  for (const client of this.clients ?? []) await client.close();
  for (const proxy of this.proxies?.values() ?? []) await proxy.stop();
  await this.platform.stop();
});

const HEALTHY_PROXY: ProxyControl = { cut: 'none', release: true, holdNext: 0 };

Given('responses of the platform to {string} are lost', async function (this: HttpWorld, name) {
  await this.proxies.get(String(name))?.control({ cut: 'toSource' });
});

Given('requests from {string} to the platform are held', async function (this: HttpWorld, name) {
  await this.proxies.get(String(name))?.control({ hold: 'toTarget', holdNext: 100 });
});

Given(
  'the connection between {string} and the platform works again',
  async function (this: HttpWorld, name) {
    await this.proxies.get(String(name))?.control(HEALTHY_PROXY);
  },
);
