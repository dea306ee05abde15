/**
 * Idle connections that the pools of several gateways keep to one server, without a network.
 */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { idleConnectionLimit } from '../../src/controllers/quotas/index.js';
import { createManualClock } from '../../src/core/clock/index.js';
import { createConnectionPool } from '../../src/gateway/backends/pool.js';

interface PoolWorld {
  idle: number;
}

const SERVER = { id: 'server-1', address: '127.0.0.1:1' };
const IN_USE = 20;

/** Uses connections at once and returns how many of them are there for reuse. */
async function countReused(maxIdle: number): Promise<number> {
  let opened = 0;
  const pool = createConnectionPool({
    clock: createManualClock(0),
    onOpen: () => {
      opened += 1;
    },
    maxIdle: () => maxIdle,
  });
  const useAll = (): void => {
    const connections = Array.from({ length: IN_USE }, () => pool.acquire(SERVER, false));
    for (const connection of connections) pool.release(SERVER, connection);
  };
  useAll();
  useAll();
  await pool.close();
  return 2 * IN_USE - opened;
}

When(
  'each of {int} gateways has used {int} connections to a server that accepts {int}',
  async function (this: PoolWorld, gateways: number, used: number, connections: number) {
    assert.equal(used, IN_USE);
    this.idle = gateways * (await countReused(idleConnectionLimit(connections, gateways)));
  },
);

Then('together they keep {int} of them idle', function (this: PoolWorld, idle: number) {
  assert.equal(this.idle, idle);
});
