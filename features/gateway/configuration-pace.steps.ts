/**
 * How often a gateway that does not follow the store reads the configuration, without sockets.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { okAsync } from 'neverthrow';
import { createSection } from '../../src/board/index.js';
import type { ServingIndex } from '../../src/controllers/forwarding/index.js';
import { PEERING_TICK_MS } from '../../src/controllers/peering/index.js';
import type { Proof } from '../../src/controllers/freshness/index.js';
import { createSystemClock } from '../../src/core/clock/index.js';
import type { ObjectStore } from '../../src/gateway/store/client.js';
import {
  createConfigurationPart,
  type ConfigurationPart,
} from '../../src/gateway/store/configuration-part.js';
import type { GatewayContext } from '../../src/gateway/types.js';
import { waitFor } from '../support/waiting.js';

interface PaceWorld {
  part: ConfigurationPart;
  section: ReturnType<typeof createSection<ServingIndex | undefined>>;
  /** The newest version in the store. */
  version: number;
  reads: number;
  failsNext: boolean;
  ticking: NodeJS.Timeout;
}

const CONFIGURATION = 'config';

After(function (this: Partial<PaceWorld>) {
  clearInterval(this.ticking);
});

Given(
  'a gateway that relies on another one, and must have a version in force within {int} ms',
  function (this: PaceWorld, applyMs: number) {
    this.version = 0;
    this.reads = 0;
    this.failsNext = false;
    this.section = createSection<ServingIndex | undefined>(undefined);
    const context = {
      clock: createSystemClock(),
      logger: { log: () => undefined },
      settings: { configuration: { applyMs } },
      board: { storeReachability: createSection({ reachable: true, since: 0 }) },
      platform: {
        configurationKind: CONFIGURATION,
        configurationName: CONFIGURATION,
        decodeConfiguration: (value: unknown) => {
          if (this.failsNext) {
            this.failsNext = false;
            throw new Error('the decoder failed');
          }
          return {
            kind: 'decoded',
            configuration: { version: value as number, routes: [], services: [] },
          };
        },
      },
    } as unknown as GatewayContext;
    const store = {
      read: () => {
        this.reads += 1;
        return okAsync({ name: CONFIGURATION, value: this.version, revision: this.version });
      },
    } as unknown as ObjectStore;
    const proof = createSection<Proof | undefined>(undefined);
    this.part = createConfigurationPart({
      context,
      store,
      section: this.section,
      proof,
      newestVersion: createSection(0),
      fetchFromPeer: () => Promise.resolve(undefined),
    });
    this.ticking = setInterval(() => {
      this.part.pursue();
    }, PEERING_TICK_MS);
  },
);

Given('the next version makes its decoder fail', function (this: PaceWorld) {
  this.failsNext = true;
});

When(
  /^it learns of (\d+) versions?, one every (\d+) ms$/,
  async function (this: PaceWorld, versions: string, everyMs: string) {
    for (let sent = 0; sent < Number(versions); sent += 1) {
      this.version += 1;
      this.part.noteVersion(this.version, 'peer-0');
      await sleep(Number(everyMs));
    }
  },
);

Then('the last of them is in force {int} ms later', async function (this: PaceWorld, ms: number) {
  const inForce = (): number => this.section.read()?.configuration.version ?? 0;
  await waitFor('the last version', () => inForce() === this.version, ms);
});

Then(/^it has read at most (\d+) times?$/, function (this: PaceWorld, most: string) {
  assert.ok(this.reads <= Number(most), `${this.reads} reads`);
});
