/**
 * Cold backend servers, with gateways as processes.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { listArrivals, type ServerWorld } from './server-limit.steps.js';
import { Site } from './site.js';

const BOUNDS = { overrun: 1.5, slack: 5 };
const COLD_START_SECONDS = 3;
const MS_PER_SECOND = 1_000;
const OK = 200;
const UNAVAILABLE = 503;

Given(
  '{int} servers that bear {int} requests a second while they are cold, and {int} gateways',
  async function (this: ServerWorld, servers: number, perSecond: number, gateways: number) {
    this.replies = [];
    this.senders = new Map();
    this.path = '/list/x';
    this.site = new Site();
    await this.site.open();
    for (let index = 0; index < servers; index += 1)
      await this.site.addServer({ id: `server-${index}`, service: 'app' });
    const cold = { cold_per_s: perSecond, cold_start_s: COLD_START_SECONDS };
    this.site.configure({ service: cold });
    const plans = Array.from({ length: gateways }, () => this.site.planGateway());
    const launched = plans.map((plan) => this.site.launch({ ...plan, coldServers: BOUNDS }));
    for (const gateway of await Promise.all(launched)) await this.site.waitUntilReady(gateway);
    // The shares of a fleet are used once all gateways count each other.
    await waitFor('all gateways to be counted', () =>
      plans.every(({ name }) => {
        const entry = this.site.store.read('gateways', name) as { counted?: boolean } | undefined;
        return entry?.counted === true;
      }),
    );
  },
);

When(
  /^all of them turn cold for (\d+) s, as their (entries|answers) show$/,
  function (this: ServerWorld, seconds: string, shownIn: 'entries' | 'answers') {
    for (const server of this.site.servers)
      server.turnCold(Number(seconds) * MS_PER_SECOND, shownIn);
  },
);

When(
  'the first of them restarts and its entry does not tell whether it is cold',
  async function (this: ServerWorld) {
    const [first] = this.site.servers;
    assert.ok(first);
    this.observed = first;
    first.coldShownIn = 'answers';
    await first.restart();
  },
);

/** The most requests of any second at the observed server. */
function mostInSecond(world: ServerWorld, fromSeconds: number): number {
  const times = listArrivals(world, world.sentFrom + fromSeconds * MS_PER_SECOND).map(
    ({ at }) => at,
  );
  const counts = times.map(
    (start) => times.filter((at) => at >= start && at < start + MS_PER_SECOND).length,
  );
  return Math.max(0, ...counts);
}

Then(
  'from {int} s on each of them gets at most {int} requests in any second, and at least {int} in {int} s',
  function (this: ServerWorld, from: number, most: number, least: number, seconds: number) {
    for (const server of this.site.servers) {
      this.observed = server;
      assert.ok(mostInSecond(this, from) <= most, `it got ${mostInSecond(this, from)}`);
      const start = this.sentFrom + from * MS_PER_SECOND;
      const end = start + seconds * MS_PER_SECOND;
      const { length } = listArrivals(this, start).filter(({ at }) => at < end);
      assert.ok(length >= least, `it got ${length} in ${seconds} s`);
    }
  },
);

Then(
  'from {int} s on it gets at most {int} requests in any second',
  function (this: ServerWorld, from: number, most: number) {
    assert.ok(mostInSecond(this, from) <= most, `it got ${mostInSecond(this, from)}`);
  },
);

Then(
  'all other requests were refused since all targets are cold, within {int} ms',
  async function (this: ServerWorld, withinMs: number) {
    const answers = await Promise.all(this.replies);
    const statuses = new Set(answers.map(({ status }) => status));
    assert.deepEqual(statuses, new Set([OK, UNAVAILABLE]));
    const refused = answers.filter(({ status }) => status === UNAVAILABLE).length;
    const lines = this.site.gateways.flatMap((gateway) => gateway.lines);
    const ends = lines.filter(({ name }) => name === 'requestEnded');
    assert.equal(ends.length, refused);
    const doubts = lines.filter(({ name }) => name === 'serverSuspected' || name === 'linkLost');
    for (const { reason, tookMs } of ends) {
      assert.equal(reason, 'all targets are cold', JSON.stringify(doubts));
      assert.ok(Number(tookMs) <= withinMs, `${String(tookMs)} ms`);
    }
  },
);
