/** A stand-in for a model engine: orders, groups and streams, as PROTOCOL.md describes them. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { now } from './site.mjs';

const JOIN_AGAIN_MS = 200;
/** Before the first request, loads take a tenth of their time. */
const STAGE_MS = 1_200;
const WARM_MS = 1_100;
const FORM_MS = 300;

export class ModelEngine {
  /**
   * `runs` collects the requests that an engine has begun to run. `pass` describes how events are made:
   * `events` of them each `everyMs`. `spoil(run)` returns the id of an event to spoil, if any. Answers
   * have no length and end with their connection if `endsWithConnection` is set.
   */
  constructor(
    site,
    {
      id,
      service,
      zone,
      domain,
      runs,
      pass,
      total,
      spoil = () => undefined,
      endsWithConnection = false,
    },
  ) {
    Object.assign(this, { site, id, service, zone, domain, runs, pass, total, spoil });
    this.endsWithConnection = endsWithConnection;
    this.born = Date.now();
    this.staged = [];
    this.model = undefined;
    this.lastModel = undefined;
    this.membership = undefined;
    this.seenEpoch = 0;
    this.orders = [];
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 8_000;
    site.backends.push(this);
  }

  async listen() {
    const host = this.site.host();
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    this.register();
  }

  get entry() {
    const { service, address, zone, domain, born, staged, model, membership } = this;
    return {
      service,
      address,
      zone,
      version: 'v1',
      slots: 12,
      state: 'ready',
      born,
      cold_remaining_ms: 0,
      sequence: this.orders.length,
      stage: 'dual',
      models: model ? [{ name: model, version: 1, adapters: [] }] : [],
      domain,
      staged,
      group: membership
        ? {
            name: membership.name,
            epoch: membership.epoch,
            rank: membership.members.indexOf(this.id),
            state: membership.state,
          }
        : null,
    };
  }

  register() {
    this.site.store.put('servers', this.id, this.entry);
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.refuse(response, 421);
      return;
    }
    if (request.url === '/report' || request.url === '/healthz') {
      const { stage, models, domain, staged, group, born } = this.entry;
      const report = JSON.stringify({
        ...{ stage, models, domain, staged, group, born, pace: 1, busy: false },
        sequence: this.orders.length,
      });
      response
        .writeHead(200, { 'Instance-Id': this.id, 'content-length': Buffer.byteLength(report) })
        .end(report);
    } else if (request.url === '/order') this.takeOrder(JSON.parse(text), response);
    else await this.run(request, response);
  }

  refuse(response, status) {
    response.writeHead(status, { 'Not-Executed': '1', 'content-length': 0 }).end();
  }

  takeOrder(order, response) {
    const answer = (status) => response.writeHead(status, { 'content-length': 0 }).end();
    const { membership } = this;
    const isOwn = membership?.name === order.group && membership?.epoch === order.epoch;
    switch (order.operation) {
      case 'join': {
        const isSame = isOwn && membership.members.join() === order.members.join();
        if (order.epoch < this.seenEpoch || (isOwn && !isSame)) answer(412);
        else if (isSame) answer(200);
        else {
          answer(202);
          this.orders.push(order);
          void this.join(order);
        }
        break;
      }
      case 'open':
        if (!isOwn || membership.state !== 'ready')
          answer(isOwn && membership.state === 'open' ? 200 : 409);
        else {
          answer(202);
          this.orders.push(order);
          void this.open(membership);
        }
        break;
      case 'close':
        if (isOwn) membership.state = 'ready';
        answer(200);
        this.register();
        break;
      case 'leave':
        if (isOwn) this.membership = undefined;
        answer(200);
        this.register();
        break;
      case 'stage':
        if (this.staged.includes(order.model)) answer(200);
        else {
          answer(202);
          this.orders.push(order);
          void this.stage(order.model);
        }
        break;
      default:
        answer(400);
    }
  }

  async stage(model) {
    await sleep(STAGE_MS);
    this.staged = [model];
    this.register();
  }

  async join({ group, epoch, model, members }) {
    this.seenEpoch = epoch;
    const membership = { name: group, epoch, members, state: 'joining' };
    this.membership = membership;
    this.register();
    if (this.lastModel === model) await sleep(JOIN_AGAIN_MS);
    else if (this.staged.includes(model)) await sleep(WARM_MS);
    else {
      await sleep(STAGE_MS);
      this.staged = [model];
    }
    if (this.membership !== membership) return;
    this.model = model;
    this.lastModel = model;
    membership.state = 'ready';
    this.register();
  }

  async open(membership) {
    await sleep(FORM_MS);
    if (this.membership !== membership || membership.state !== 'ready') return;
    membership.state = 'open';
    this.register();
  }

  async run(request, response) {
    const id = request.headers['attempt-id'];
    const { membership } = this;
    if (membership?.state !== 'open' || membership.members[0] !== this.id) {
      this.refuse(response, 421);
      return;
    }
    const from = Number(request.headers['last-event-id'] ?? 0);
    const run = { id, engine: this.id, from, at: now(), made: [] };
    this.runs.push(run);
    const spoiled = this.spoil(run);
    if (this.endsWithConnection) response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': id,
      'Response-Seal': `${this.id}.${id}`,
      ...(this.endsWithConnection && { Connection: 'close' }),
    });
    for (let next = from + 1; next <= this.total;) {
      await sleep(this.pass.everyMs);
      if (response.destroyed) return;
      const events = [];
      for (let made = 0; made < this.pass.events && next <= this.total; made += 1, next += 1) {
        const event = `id: ${next}\ndata: ${id} piece ${next}\n\n`;
        if (next === spoiled) run.spoiled = next;
        else run.made.push(next);
        // Wrong bytes in the place of the event.
        events.push(next === spoiled ? '#'.repeat(event.length - 2) + '\n\n' : event);
      }
      response.write(events.join(''));
    }
    response.end();
  }
}
