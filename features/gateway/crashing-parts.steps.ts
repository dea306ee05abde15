/**
 * Requests whose prompts have a part in common that crashes engines, beside sound requests.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor } from '../support/waiting.js';
import { Site, type Answer, type GatewayProcess } from './site.js';
import { hasPart, type Arrival, type StreamCrash } from './stand-ins/engine.js';
import type { GatewayWorld } from './world.js';

interface PartsWorld extends GatewayWorld {
  sound: SoundRequest[];
  /** Ends the sound requests. */
  stopSound: AbortController;
  soundDone: Promise<void>;
  /** When the first and the last request with the part were sent. */
  crashing: { from: number; until: number };
  requestCount: number;
}

interface SoundRequest {
  sentAt: number;
  isServed: boolean;
}

const CRASHING_PART = 'bad0';
const COMMON_PART = 'aa00';
/** Parts that requests with the crashing part share with sound ones. */
const OTHER_PARTS = ['c0', 'c1', 'c2'];
const DOMAIN_SIZE = 4;
const RESTART_AFTER_MS = 1_500;
/** Crashes after which gateways must know the part, as the users ask. */
const ALLOWED_CRASHES = 5;
const MS_PER_SECOND = 1_000;
/** Sound requests are counted over this time before the first crash. */
const BEFORE_MS = 2_000;

function nextGateway(world: PartsWorld): GatewayProcess {
  const { gateways } = world.site;
  const gateway = gateways[world.requestCount % gateways.length];
  assert.ok(gateway);
  return gateway;
}

/** Sends a request that no other one equals, with the given parts before its own. */
function send(
  world: PartsWorld,
  gateway: GatewayProcess,
  parts: readonly string[],
): Promise<Answer> {
  world.requestCount += 1;
  const count = world.requestCount;
  const tokens = [...parts, `f${count}`].map((part) => `${part}:20`).join();
  return world.site.request(gateway, {
    method: 'POST',
    path: `/chat/slots-${count}`,
    body: `prompt ${count}`,
    headers: { 'Prompt-Prefix': tokens },
  });
}

function otherPart({ requestCount }: PartsWorld): string {
  return OTHER_PARTS[requestCount % OTHER_PARTS.length] ?? '';
}

function sendCrashing(world: PartsWorld, gateway = nextGateway(world)): Promise<Answer> {
  return send(world, gateway, [COMMON_PART, CRASHING_PART, otherPart(world)]);
}

function listCrashing({ site }: PartsWorld): Arrival[] {
  return site.journal.filter((arrival) => hasPart(arrival, CRASHING_PART));
}

function crashTimes(world: PartsWorld): number[] {
  return listCrashing(world)
    .flatMap(({ endedAt }) => endedAt ?? [])
    .sort((a, b) => a - b);
}

function lastAllowedCrash(world: PartsWorld): number {
  const crashes = crashTimes(world);
  const at = crashes[Math.min(ALLOWED_CRASHES, crashes.length) - 1];
  assert.ok(at !== undefined, 'no engine crashed');
  return at;
}

function servedShare(requests: readonly SoundRequest[]): number {
  assert.ok(requests.length >= 20, `${requests.length} sound requests`);
  return requests.filter(({ isServed }) => isServed).length / requests.length;
}

Given(
  /^a site with (\d+) engines that crash under one part, (.+), and (\d+) ready gateways$/,
  async function (this: PartsWorld, engines: string, how: StreamCrash, gateways: string) {
    this.site = new Site();
    this.requestCount = 0;
    await this.site.open();
    for (let index = 0; index < Number(engines); index += 1) {
      const domain = `domain-${Math.floor(index / DOMAIN_SIZE)}`;
      const engine = await this.site.addServer({
        id: `engine-${index}`,
        service: 'models',
        domain,
      });
      engine.crashingPart = { part: CRASHING_PART, how, backAfterMs: RESTART_AFTER_MS };
    }
    this.site.configure();
    const plans = Array.from({ length: Number(gateways) }, () => this.site.planGateway());
    for (const gateway of await Promise.all(plans.map((plan) => this.site.launch(plan)))) {
      await this.site.waitUntilReady(gateway);
      await waitFor('the gateways to hear each other', () => {
        const heard = gateway.lines.filter(({ name }) => name === 'peerHeard');
        return heard.length >= plans.length - 1;
      });
    }
    await this.site.waitForOpenGroups(Number(engines) / 2);
  },
);

async function sendSound(world: PartsWorld, perSecond: number): Promise<void> {
  const pending: Promise<void>[] = [];
  while (!world.stopSound.signal.aborted) {
    const record: SoundRequest = { sentAt: performance.now(), isServed: false };
    world.sound.push(record);
    const asked = send(world, nextGateway(world), [COMMON_PART, otherPart(world)]);
    const settle = ({ status, whole }: Answer): void => {
      record.isServed = status === 200 && whole;
    };
    pending.push(asked.then(settle).catch(() => undefined));
    await sleep(MS_PER_SECOND / perSecond);
  }
  await Promise.all(pending);
}

When(
  'sound requests come all the time, {int} a second',
  async function (this: PartsWorld, perSecond: number) {
    this.sound = [];
    this.stopSound = new AbortController();
    this.soundDone = sendSound(this, perSecond);
    await sleep(BEFORE_MS);
  },
);

When(
  'different requests with that part come every {int} ms for {int} s, at one gateway after the other',
  async function (this: PartsWorld, everyMs: number, seconds: number) {
    const from = performance.now();
    const until = from + seconds * MS_PER_SECOND;
    this.crashing = { from, until };
    const asked: Promise<unknown>[] = [];
    while (performance.now() < until) {
      asked.push(sendCrashing(this).catch(() => undefined));
      await sleep(everyMs);
    }
    this.stopSound.abort();
    await Promise.all([...asked, this.soundDone]);
  },
);

Then(
  'at most {int} of them reached engines later than {int} ms after the fifth crash',
  function (this: PartsWorld, maxSent: number, toleranceMs: number) {
    const crashes = crashTimes(this).length;
    const knownAt = lastAllowedCrash(this) + toleranceMs;
    const late = listCrashing(this).filter(({ at }) => at > knownAt).length;
    this.log(`${late} sendings later than that, ${crashes} crashes in all`);
    assert.ok(late <= maxSent, `${late} sendings later than that, ${crashes} crashes in all`);
  },
);

Then(
  'from {int} ms after it on at least half as many sound requests were served at once as before',
  function (this: PartsWorld, afterMs: number) {
    const { from, until } = this.crashing;
    const settledAt = lastAllowedCrash(this) + afterMs;
    const before = servedShare(this.sound.filter(({ sentAt }) => sentAt < from));
    const after = servedShare(
      this.sound.filter(({ sentAt }) => sentAt > settledAt && sentAt < until),
    );
    this.log(`served at once: ${before.toFixed(2)} before, ${after.toFixed(2)} after`);
    assert.ok(after >= before / 2, `served at once: ${before} before, ${after} after`);
  },
);

Then(
  'a new request with the part is refused as not run, with a time to come back, at each gateway',
  async function (this: PartsWorld) {
    for (const gateway of this.site.gateways) {
      const before = listCrashing(this).length;
      const answer = await sendCrashing(this, gateway);
      assert.equal(answer.status, 503, answer.body);
      assert.match(answer.body, /quarantined/);
      assert.ok(Number(answer.headers['retry-after']) > 0);
      assert.equal(listCrashing(this).length, before);
    }
  },
);
