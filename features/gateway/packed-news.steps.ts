/**
 * Messages about backend servers between gateways.
 */
import assert from 'node:assert/strict';
import { deflateRawSync } from 'node:zlib';
import { Given, Then } from '@cucumber/cucumber';
import {
  decodeCatchUp,
  decodeFleetUpdate,
  encodeCatchUp,
  encodeFleetUpdate,
  type FleetMessage,
} from '../../src/gateway/peers/fleet-messages.js';
import type { FleetUpdate } from '../../src/gateway/store/fleet-part.js';

interface PackedNewsWorld {
  update: FleetUpdate;
  message: FleetMessage;
}

const MEGABYTE = 1_048_576;

function createUpdate(count: number): FleetUpdate {
  const changes = Array.from({ length: count }, (_, index) => ({
    kind: 'present' as const,
    server: {
      id: `engine-${index}`,
      service: 'models',
      address: `127.0.0.1:${20_000 + index}`,
      failureDomain: 'north',
      slots: 10,
      leaving: false,
      entryRevision: 1_000 + index,
      engine: {
        fabricDomain: `fabric-${index % 19}`,
        staged: ['large', 'small'],
        membership: {
          group: `group-${index % 95}`,
          epoch: 3,
          rank: index % 8,
          state: 'open' as const,
        },
      },
    },
  }));
  return { since: 10, revision: 2_000, absentInMs: 0, changes };
}

Given('an update with {int} change(s) of engines', function (this: PackedNewsWorld, count: number) {
  this.update = createUpdate(count);
});

Then('its message is as it is and says the same', function (this: PackedNewsWorld) {
  assert.equal(encodeFleetUpdate(this.update), this.update);
});

Then(
  'its message is less than a fifth of what it says and says the same',
  function (this: PackedNewsWorld) {
    const message = encodeFleetUpdate(this.update);
    const bytes = JSON.stringify(message).length;
    assert.ok(bytes < JSON.stringify(this.update).length / 5, `${bytes} bytes`);
    assert.deepEqual(decodeFleetUpdate(message), this.update);
  },
);

Then(
  'messages to {int} gateways share one packed form',
  function (this: PackedNewsWorld, count: number) {
    let packings = 0;
    const counted = {
      ...this.update,
      toJSON: () => {
        packings += 1;
        return this.update;
      },
    };
    for (let index = 0; index < count; index += 1) encodeFleetUpdate(counted);
    assert.equal(packings, 1);
  },
);

Then(
  'copies for {int} gateways share one packed form, and each says the same',
  function (this: PackedNewsWorld, count: number) {
    const servers = this.update.changes.flatMap((change) =>
      change.kind === 'present' ? [change.server] : [],
    );
    let packings = 0;
    const counted = Object.assign([...servers], {
      toJSON: () => {
        packings += 1;
        return servers;
      },
    });
    for (let leftMs = 0; leftMs < count; leftMs += 1) {
      const rest = { revision: 1, vanished: [{ id: 'engine-0', leftMs }] };
      const message = encodeCatchUp({ fleet: { ...rest, servers: counted } });
      assert.deepEqual(decodeCatchUp(message), { fleet: { ...rest, servers } });
    }
    assert.equal(packings, 1);
  },
);

Given('a packed message of 64 megabytes of blanks', function (this: PackedNewsWorld) {
  this.message = { packed: deflateRawSync(Buffer.alloc(64 * MEGABYTE, ' ')).toString('base64') };
});

Given('a packed message of another shape', function (this: PackedNewsWorld) {
  const text = JSON.stringify({ since: 0, revision: 1, changes: [{ kind: 'other' }] });
  this.message = { packed: deflateRawSync(text).toString('base64') };
});

Then('it is refused', function (this: PackedNewsWorld) {
  assert.throws(() => decodeFleetUpdate(this.message));
});
