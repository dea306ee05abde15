/**
 * One process of the relay benchmark: listens, and reports its use of the machine when asked.
 */
import type { AddressInfo, Server } from 'node:net';
import { createBaseline } from './baseline.js';
import { createEngine } from './engine.js';
import { createBenchEntry } from './entry.js';
import { ENGINE_VARIABLE, ROLE_VARIABLE, type Report, type Role } from './messages.js';

const MICROSECONDS_PER_MS = 1_000;

function report(message: Report): void {
  process.send?.(message);
}

function listen(server: Pick<Server, 'listen' | 'address'>): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}

async function start(role: Role, engine: string): Promise<string> {
  switch (role) {
    case 'engine':
      return listen(createEngine());
    case 'baseline':
      return listen(createBaseline(engine));
    case 'entry':
      return (await createBenchEntry(engine).listen())._unsafeUnwrap();
  }
}

process.on('message', () => {
  globalThis.gc?.();
  const { user, system } = process.cpuUsage();
  const cpuMs = (user + system) / MICROSECONDS_PER_MS;
  report({ kind: 'usage', cpuMs, residentBytes: process.memoryUsage.rss() });
});
process.on('disconnect', () => process.exit());

const role = process.env[ROLE_VARIABLE] as Role;
report({ kind: 'listening', address: await start(role, process.env[ENGINE_VARIABLE] ?? '') });
