/**
 * Engines crash while they write answers whose end is marked by their connection: the connections are
 * reset right after the last bytes. Callers must not get what came until then as a whole answer.
 */
import process from 'node:process';
import { clearInterval, setImmediate, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { createConfiguration, MODEL } from '../lib/configuration.mjs';
import { ModelEngine } from '../lib/model.mjs';
import { sendRaw } from '../lib/raw-client.mjs';
import { ServiceEngine } from '../lib/service.mjs';
import { now, runCase, waitFor } from '../lib/site.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const ZONE = 'tacoma-hall';
const PIECES = 30;
const PASS_MS = 80;
const STREAMS = 44;
const CHECKINS = 15;
const BODY_BYTES = 800;

/** Ends the connection with a reset and no regular end. */
function reset(socket) {
  socket.resetAndClosing = true;
  socket.destroy();
}

/** Makes one piece of all its streams in each pass. */
class PassingEngine extends ModelEngine {
  streams = new Map();

  async run(request, response) {
    const { membership } = this;
    if (membership?.state !== 'open' || membership.members[0] !== this.id) {
      this.refuse(response, 421);
      return;
    }
    const id = request.headers['attempt-id'];
    const from = Number(request.headers['last-event-id'] ?? 0);
    this.runs.push({ id, engine: this.id, from, at: now() });
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': id,
      'Response-Seal': `${this.id}.${id}`,
      Connection: 'close',
    });
    this.streams.set(id, { response, next: from + 1 });
    response.once('close', () => this.streams.delete(id));
    this.timer ??= setInterval(() => this.makePass(), PASS_MS);
  }

  makePass() {
    for (const [id, stream] of this.streams) {
      stream.response.write(`id: ${stream.next}\ndata: ${id} piece ${stream.next}\n\n`);
      stream.next += 1;
      if (stream.next > PIECES) stream.response.end();
    }
    if (this.crashesNext) this.crash();
  }

  /** The bytes of the last pass are on their way; then all connections are reset. */
  crash() {
    clearInterval(this.timer);
    setImmediate(() => {
      const open = [...this.streams.values()];
      for (const { response } of open) reset(response.socket);
      this.close();
      this.site.record(`${this.id} has crashed with ${open.length} streams`);
    });
  }

  close() {
    clearInterval(this.timer);
    super.close();
  }
}

/** Answers in two halves, without a length. */
class HalvingEngine extends ServiceEngine {
  answers = new Set();

  async handle(request, response) {
    const id = request.headers['attempt-id'];
    if (id === undefined || request.headers['expect-instance'] !== this.id) {
      await super.handle(request, response);
      return;
    }
    request.resume();
    this.runs.push({ id, engine: this.id, at: now() });
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      'Attempt-Id': id,
      'Response-Seal': `${this.id}.${id}`,
      Connection: 'close',
    });
    this.answers.add(response);
    await this.untilWritten;
    if (response.destroyed) return;
    response.write('a'.repeat(BODY_BYTES / 2));
    await sleep(20);
    if (!response.destroyed) response.end('b'.repeat(BODY_BYTES / 2));
  }

  /** Holds back the bodies until `release` is called. */
  hold() {
    this.untilWritten = new Promise((resolve) => {
      this.release = resolve;
    });
  }

  crash() {
    this.release();
    setImmediate(() => {
      const open = [...this.answers];
      for (const response of open) reset(response.socket);
      this.close();
      this.site.record(`${this.id} has crashed with ${open.length} answers half written`);
    });
  }
}

async function startEngines(site, runs) {
  const models = [];
  for (let index = 0; index < 8; index += 1) {
    const domain = `d${index < 4 ? 0 : 1}`;
    const options = { id: `i-${index}`, service: 'lm-bench', zone: ZONE, domain, runs };
    models.push(new PassingEngine(site, { ...options, pass: {}, total: PIECES }));
  }
  const services = [0, 1, 2].map(
    (index) => new HalvingEngine(site, { id: `s-${index}`, service: 'gate-app', zone: ZONE, runs }),
  );
  for (const engine of [...models, ...services]) await engine.listen();
  return { models, services };
}

async function playStreams(gateway, models) {
  const streams = Array.from({ length: STREAMS }, () =>
    sendRaw(gateway, 'POST', '/brief/2f', {
      deadlineMs: 6_000,
      body: '{}',
      headers: {
        Model: MODEL,
        'Token-Count': '714,175',
        'Prompt-Prefix': '5c1e07a2:40,91bd3f06:674',
      },
    }),
  );
  await sleep(1_000);
  const [busiest] = [...models].sort((a, b) => b.streams.size - a.streams.size);
  if (hasTrouble) busiest.crashesNext = true;
  return Promise.all(streams);
}

async function playCheckins(gateway, services) {
  for (const engine of services) engine.hold();
  const checkins = Array.from({ length: CHECKINS }, () =>
    sendRaw(gateway, 'POST', '/checkin/2f', { body: '{}' }),
  );
  // One caller without a gateway between for each engine, to see that the crash is told from an end.
  const direct = services.map(({ id, address }) =>
    sendRaw({ name: id, frontend: address }, 'POST', '/checkin/2f', {
      body: '{}',
      headers: { 'Expect-Instance': id },
    }),
  );
  await sleep(200);
  const [busiest, ...others] = [...services].sort((a, b) => b.answers.size - a.answers.size);
  if (hasTrouble) busiest.crash();
  else busiest.release();
  for (const engine of others) engine.release();
  return { checkins: await Promise.all(checkins), direct: await Promise.all(direct) };
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (site) => {
  const runs = [];
  site.store.put('config', 'main', createConfiguration());
  const { models, services } = await startEngines(site, runs);
  const gateway = await site.planGateway('edge-tacoma-1', ZONE);
  site.launch(gateway);
  await site.waitUntilReady(gateway);
  await waitFor('the groups to open', () => {
    const open = models.filter(({ membership }) => membership?.state === 'open');
    return open.length === 4;
  });
  // The gateway learns of the last one.
  await sleep(1_000);

  const streams = await playStreams(gateway, models);
  const { checkins, direct } = await playCheckins(gateway, services);
  site.recordRequests([...streams, ...checkins, ...direct], runs);
  const isSuccess = ({ status, headers, outcome }) =>
    status === 200 && headers['response-seal'] !== undefined && outcome.startsWith('complete');
  const countPieces = ({ body }) => [...body.matchAll(/^id: \d+$/gm)].length;
  const shortStreams = streams.filter((each) => isSuccess(each) && countPieces(each) < PIECES);
  const shortCheckins = checkins.filter((each) => isSuccess(each) && each.body.length < BODY_BYTES);
  for (const each of shortStreams)
    site.record(
      `${each.id}: a sealed 200, ${each.outcome}, ${countPieces(each)} of ${PIECES} pieces`,
    );
  for (const each of shortCheckins)
    site.record(
      `${each.id}: a sealed 200, ${each.outcome}, ${each.body.length} of ${BODY_BYTES} bytes`,
    );
  site.record(
    `${streams.length} streams: ${streams.filter(isSuccess).length} complete, ` +
      `${shortStreams.length} of these lack pieces; ${checkins.length} check-ins: ` +
      `${checkins.filter(isSuccess).length} complete, ${shortCheckins.length} of these lack bytes`,
  );
  const isAnyLost = [...streams, ...checkins].some((each) => !isSuccess(each));
  if (hasTrouble && direct.every(({ end }) => end !== 'reset'))
    throw new Error('the crash was not seen as a reset without a gateway');
  if (!hasTrouble && isAnyLost) throw new Error('requests failed without trouble');
  return shortStreams.length + shortCheckins.length > 0;
});
