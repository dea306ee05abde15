/**
 * Steps of the scenarios on callers that read nothing.
 *
 * Entry, backend server and callers run in this process, so that "nothing moves" is seen, not
 * guessed: while the machine is busy all of them wait, and so does this.
 */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When, type World } from '@cucumber/cucumber';
import { BLOCKED_BYTES, BUFFERS } from '../support/entry-buffers.js';
import { waitFor } from '../support/waiting.js';
import {
  AMPLE_BYTES,
  AMPLE_TOKENS,
  startAmpleBackend,
  type AmpleBackend,
} from './ample-backend.js';
import { KEY, MODEL } from './fixture.js';
import type { RequestWorld } from './requests.steps.js';

type Kind = keyof typeof BUFFERS;

interface UnreadWorld extends RequestWorld, World {
  ample?: AmpleBackend;
  silent: Socket[];
  /** The most that was held while each group of callers came, in bytes. */
  peaks: number[];
}

const LOOK_EVERY_MS = 10;
/** So many looks in a row without a change; the event loop has turned for each. */
const STILL_LOOKS = 30;
/** Of a step that moves 200 megabytes; no verdict rests on it. */
const LONGEST_STEP_MS = 60_000;
/** Of the callers' requests: later than the last step ends. */
const DEADLINE_MS = 3 * LONGEST_STEP_MS;

After(async function (this: Partial<UnreadWorld>) {
  for (const socket of this.silent ?? []) socket.destroy();
  await this.ample?.stop();
});

Given(
  'its backend servers have {int} megabytes to say in each answer',
  async function (this: UnreadWorld, megabytes: number) {
    assert.equal(AMPLE_BYTES, megabytes * 1_000_000);
    const [engine] = this.entry.engines;
    assert.ok(engine);
    const { address } = (this.ample = await startAmpleBackend(engine.address));
    this.entry.writeFleet([
      { instance: engine.instance, address },
      { instance: 'gate-1', address },
    ]);
    this.silent = [];
    this.peaks = [];
  },
);

When(
  /^(\d+) callers ask for (streams|downloads) and read nothing, until nothing moves any more$/,
  { timeout: LONGEST_STEP_MS },
  async function (this: UnreadWorld, callers: string, kind: Kind) {
    for (let count = 0; count < Number(callers); count += 1) {
      this.silent.push(askSilently(this.entry.address, kind));
    }
    this.peaks.push(await watchUntilStill(this));
  },
);

Then(
  /^each of the (\d+) callers of (streams|downloads) is held up, and the entry held no more than their buffers$/,
  function (this: UnreadWorld, callers: string, kind: Kind) {
    const held = this.peaks.at(-1) ?? 0;
    const bound = Number(callers) * BUFFERS[kind];
    this.log(`${callers} ${kind}: held at most ${held} bytes, bound ${bound}`);
    assert.equal(this.silent.length, Number(callers));
    assert.ok(held <= bound, `${held} bytes, more than ${bound}`);
    assert.ok(this.entry.unread.sum() >= this.silent.length * BLOCKED_BYTES, 'not all held up');
  },
);

Then(
  /^the (\d+) callers that came later cost no more than the buffers of \d+ (streams|downloads)$/,
  function (this: UnreadWorld, callers: string, kind: Kind) {
    const [first = 0, last = Infinity] = this.peaks;
    const bound = Number(callers) * BUFFERS[kind];
    assert.ok(last - first <= bound, `${last - first} bytes more, over ${bound}`);
  },
);

When('the callers read on', function (this: UnreadWorld) {
  for (const socket of this.silent) socket.resume();
});

Then('each has the whole answer, and the entry holds nothing', async function (this: UnreadWorld) {
  await Promise.all(
    this.silent.map((socket) =>
      waitFor('the end of an answer', () => socket.readableEnded, LONGEST_STEP_MS),
    ),
  );
  for (const { bytesRead } of this.silent) {
    assert.ok(bytesRead > AMPLE_BYTES, `${bytesRead} bytes`);
  }
  await waitFor('the entry to hold nothing', () => this.entry.unread.sum() === 0);
});

/** Resolves with the most that the entry held, once nothing has left its backend servers for long. */
async function watchUntilStill({ ample, entry, silent }: UnreadWorld): Promise<number> {
  assert.ok(ample);
  await waitFor('all answers to begin', () => ample.begun() === silent.length);
  let peak = 0;
  let before = '';
  for (let still = 0; still < STILL_LOOKS;) {
    const held = entry.unread.sum();
    const now = `${held} ${ample.writtenBytes()}`;
    peak = Math.max(peak, held);
    still = now === before ? still + 1 : 0;
    before = now;
    await sleep(LOOK_EVERY_MS);
  }
  return peak;
}

function askSilently(address: string, kind: Kind): Socket {
  const [host, port] = address.split(':');
  const asked = { model: MODEL, stream: true, max_tokens: AMPLE_TOKENS };
  const messages = [{ role: 'user', content: 'what is new?' }];
  const body = kind === 'streams' ? JSON.stringify({ ...asked, messages }) : '';
  const head = [
    kind === 'streams' ? 'POST /v1/chat/completions HTTP/1.1' : 'GET /services/gate/ample HTTP/1.1',
    `Host: ${address}`,
    `Authorization: Bearer ${KEY}`,
    `X-Request-Deadline-Ms: ${DEADLINE_MS}`,
    `Content-Length: ${body.length}`,
    'Connection: close',
  ];
  const socket = connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
  return socket;
}
