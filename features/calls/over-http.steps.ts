/**
 * Steps of the scenarios in which call records are kept over HTTP.
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
  const none = (): void => undefined;
  const link: Link = {
    platform: client,
    fault: 'none',
    land: none,
    release: none,
    waiting: () => 0,
  };
  world.onceCalls.startEntry(name, link);
}

// Runs before the After of once-calls.steps.ts, whose entries need the platform to stop.
After(async function (this: Partial<HttpWorld>) {
  if (!this.platform || !this.onceCalls) return;
  for (const proxy of this.proxies?.values() ?? []) await proxy.control(WHOLE);
  await Promise.all([...this.onceCalls.entries.values()].map(({ calls }) => calls.stop()));
  for (const client of this.clients ?? []) await client.close();
  for (const proxy of this.proxies?.values() ?? []) await proxy.stop();
  await this.platform.stop();
});

const WHOLE: ProxyControl = { cut: 'none', release: true, holdNext: 0 };

Given('no answer of the platform comes back to {string}', async function (this: HttpWorld, name) {
  await this.proxies.get(String(name))?.control({ cut: 'toSource' });
});

Given('what {string} sends to the platform is held up', async function (this: HttpWorld, name) {
  await this.proxies.get(String(name))?.control({ hold: 'toTarget', holdNext: 100 });
});

Given(
  'the way between {string} and the platform is whole again',
  async function (this: HttpWorld, name) {
    await this.proxies.get(String(name))?.control(WHOLE);
  },
);
