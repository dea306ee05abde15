import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { deflateRawSync } from 'node:zlib';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { request } from 'undici';
import { startHostileServer, type HostileServer } from '../hostile/raw-server.js';
import { waitFor } from '../support/waiting.js';
import { API_KEY, askStreamed } from './callers.js';
import { startDeployment } from './deployment.js';
import { answerOf, createQuestion, type PromiseWorld } from './world.js';

interface HostileWorld extends PromiseWorld {
  flooding?: HostileServer;
}

const NOISE = '\u0000þ}{"\r\n\r\n'.repeat(500);
const NESTED = '['.repeat(900_000);
const UNFOLDING = deflateRawSync(`[${'[],'.repeat(10_000_000)}[]]`).toString('base64url');
const REPEATS = 5;
const RAW_MS = 300;
const HOSTILE_VALUES = [{ replicas: 'many' }, 7, null, { address: '\u0000' }] as const;

After(function (this: Partial<HostileWorld>) {
  this.flooding?.stop();
});

Given(
  'an entry before one replica, to be met by hostile input',
  async function (this: HostileWorld) {
    this.deployment = await startDeployment();
    await this.deployment.whenWhole(1);
    await this.deployment.whenReady();
  },
);

/** Sends bytes as they are; what comes back does not matter. */
function sendNoise(address: string): Promise<void> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    const done = (): void => {
      socket.destroy();
      resolve();
    };
    socket.on('error', done).on('close', done).on('data', done);
    socket.setTimeout(RAW_MS, done);
    socket.write(NOISE);
  });
}

async function post(address: string, path: string, body: string): Promise<number> {
  const headers = { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json' };
  const method = path.startsWith('/objects') ? 'PUT' : 'POST';
  const answer = await request(`http://${address}${path}`, { method, headers, body });
  await answer.body.dump();
  return answer.statusCode;
}

When(
  'callers, peers and operators send it noise, nested and unfolding messages',
  async function (this: HostileWorld) {
    const { callers, operators, peers } = this.deployment.entry(0);
    for (let count = 0; count < REPEATS; count += 1) {
      await Promise.all([callers, operators, peers].map(sendNoise));
      const statuses = await Promise.all([
        post(callers, '/v1/chat/completions', NESTED),
        post(operators, '/objects/model/evil', NESTED),
        post(peers, '/digest.exchange', JSON.stringify(UNFOLDING)),
        post(peers, '/digest.exchange', NOISE),
      ]);
      for (const status of statuses) assert.ok(status >= 400, statuses.join());
    }
  },
);

When(
  'the platform lists objects of no schema and an engine that answers without end',
  async function (this: HostileWorld) {
    const { platform } = this.deployment;
    this.flooding = await startHostileServer();
    const head = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n';
    this.flooding.answer = { parts: [head], then: 'flood' };
    await platform.put('instance', 'flooding', {
      role: 'engine',
      address: this.flooding.address,
      failureDomain: 'site-1',
      fabricDomain: 'fabric-1',
    });
    for (const [index, value] of HOSTILE_VALUES.entries()) {
      for (const kind of ['model', 'workspace', 'instance', 'domain-plan', 'policy']) {
        await platform.put(kind, `hostile-${index}`, value);
      }
    }
    const { flooding } = this;
    await waitFor('the entry to have met the flood', () => flooding.sentBytes() > 1_000_000);
  },
);

Then(
  'the entry serves a whole stream and holds less than {int} million bytes',
  async function (this: HostileWorld, millions: number) {
    const entry = this.deployment.entry(0);
    await waitFor('a whole stream', async () => {
      const question = createQuestion(3);
      const reply = await askStreamed(entry.callers, question);
      return reply.whole && reply.text === answerOf(question);
    });
    const metrics = await (await request(`http://${entry.operators}/metrics`)).body.text();
    const bytes = Number(/^process_resident_memory_bytes (\S+)/m.exec(metrics)?.[1]);
    assert.ok(bytes < millions * 1e6, `${bytes} bytes`);
  },
);
