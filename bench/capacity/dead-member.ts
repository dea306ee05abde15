/**
 * How long the death of one member of a replica stays unnoticed, at each entry.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { statusSchema } from '../../src/controllers/status/index.js';
import type { BenchFleet } from './fleet.js';

const POLL_MS = 50;
const LONGEST_MS = 12_000;

/** Ends the first engine; resolves with the time after which each entry had its replica out. */
export async function measureDeadMember(fleet: BenchFleet): Promise<number[]> {
  const [victim] = fleet.engines;
  if (victim === undefined) return [];
  const startedAt = performance.now();
  const stopping = victim.stop();
  const times = await Promise.all(
    fleet.entries.map(async ({ announced }) => {
      const { operators } = announced.listening as Record<string, string>;
      while (performance.now() - startedAt < LONGEST_MS) {
        if (!(await isServing(operators ?? '', victim.instance))) break;
        await sleep(POLL_MS);
      }
      return Math.round(performance.now() - startedAt);
    }),
  );
  await stopping;
  return times.sort((a, b) => a - b);
}

async function isServing(operators: string, member: string): Promise<boolean> {
  const { body } = await request(`http://${operators}/status`);
  const { models } = statusSchema.parse(await body.json());
  const replicas = models.flatMap((model) => model.replicas);
  return replicas.some(({ members, serving }) => serving && members.includes(member));
}
