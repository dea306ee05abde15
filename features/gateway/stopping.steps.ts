/**
 * Gateways that are told to stop: what their callers get, and what the logs tell of it.
 */
import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { Site, type Answer, type GatewayProcess } from './site.js';
import type { GatewayWorld } from './world.js';

/** One request of a caller and what came of it; no answer when the connection brought none. */
interface Attempt {
  id: string;
  answer: Answer | undefined;
}

interface StoppingWorld extends GatewayWorld {
  attempts: Attempt[];
}

const EVENT_GAP_MS = 100;
/** Longer than any stream here, so that the deadline ends none. */
const DEADLINE_MS = 7_000;
const ENDS: ReadonlySet<unknown> = new Set([
  'requestAnswered',
  'requestEnded',
  'requestRefusedAtDoor',
]);
const STREAM = {
  method: 'POST',
  path: '/chat/talk',
  headers: { 'Deadline-Ms': String(DEADLINE_MS) },
  body: '{}',
};

async function openStreams(world: StoppingWorld, takesMs: number): Promise<void> {
  world.site = new Site();
  world.answers = [];
  world.attempts = [];
  await world.site.open();
  for (let index = 0; index < 2; index += 1) {
    await world.site.addServer({
      id: `engine-${index}`,
      service: 'models',
      domain: 'fabric-1',
      gapMs: EVENT_GAP_MS,
      events: takesMs / EVENT_GAP_MS,
    });
  }
  world.site.configure({ route: { timeout_ms: DEADLINE_MS } });
}

async function launch(site: Site, graceMs: number): Promise<GatewayProcess> {
  const gateway = await site.launch({ ...site.planGateway(), graceMs });
  await site.whenReady(gateway);
  return gateway;
}

async function ask(world: StoppingWorld, request: Parameters<Site['ask']>[1]): Promise<Answer> {
  const id = world.site.nextId();
  const answer = await world.site.ask(world.gateway, request);
  world.attempts.push({ id, answer });
  return answer;
}

/** Tells the gateway to stop and resolves when it has begun to. */
async function tellToStop(gateway: GatewayProcess): Promise<void> {
  gateway.signal('SIGTERM');
  await waitFor('the gateway to stop', () =>
    gateway.lines.some(({ name }) => name === 'gatewayStopping'),
  );
}

Given(
  'a site whose streams take {int} ms and a ready gateway with a grace of {int} ms',
  async function (this: StoppingWorld, takesMs: number, graceMs: number) {
    await openStreams(this, takesMs);
    this.gateway = await launch(this.site, graceMs);
    await this.site.whenOpen(1);
  },
);

When(
  'a caller asks for a stream on its kept connection {int} ms after the gateway is told to stop',
  async function (this: StoppingWorld, ms: number) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    await ask(this, { path: '/nothing/here', agent });
    await tellToStop(this.gateway);
    await sleep(ms);
    await ask(this, { ...STREAM, agent });
    agent.destroy();
  },
);

function isPromise({ status, whole, headers }: Answer): boolean {
  return (
    whole && status === 503 && headers.connection === 'close' && Number(headers['retry-after']) >= 0
  );
}

Then(
  'the caller has a whole answer, or a promise that its request did not run',
  function (this: StoppingWorld) {
    const last = this.attempts.at(-1);
    assert.ok(last?.answer);
    if (isPromise(last.answer)) assert.deepEqual(this.site.ranAt(last.id), []);
    else assert.ok(last.answer.whole && last.answer.status === 200, JSON.stringify(last.answer));
  },
);

Then('each id that a caller saw has one end in the log', async function (this: StoppingWorld) {
  await Promise.all(this.site.gateways.map(({ exited }) => exited));
  const lines = this.site.gateways.flatMap((gateway) => gateway.lines);
  for (const { id } of this.attempts) {
    const ends = lines.filter(({ name, request }) => request === id && ENDS.has(name));
    assert.equal(ends.length, 1, `${id} has the ends ${JSON.stringify(ends)}`);
  }
});
