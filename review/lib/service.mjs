/** A stand-in for an engine of a plain service, as PROTOCOL.md describes it. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { now } from './site.mjs';

export class ServiceEngine {
  /** `runs` collects the requests that an engine has begun to run. */
  constructor(site, { id, service, zone, workMs = 30, runs }) {
    Object.assign(this, { site, id, service, zone, workMs, runs });
    this.born = Date.now();
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

  register(state = 'ready') {
    const { site, id, service, zone, address, born } = this;
    site.store.put('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots: 6,
      state,
      born,
      cold_remaining_ms: 0,
      sequence: 1,
    });
  }

  /** Leaves without having reported `draining`: only its entry is removed. */
  deregister() {
    this.site.store.remove('servers', this.id);
  }

  /** Exits: open connections break off. */
  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Not-Executed': '1', 'content-length': 0 }).end();
      return;
    }
    if (request.url === '/report' || request.url === '/healthz') {
      const text = JSON.stringify({ born: this.born });
      response.writeHead(200, { 'Instance-Id': this.id, 'content-length': text.length }).end(text);
      return;
    }
    const id = request.headers['attempt-id'];
    if (id === undefined) {
      response.writeHead(400, { 'Not-Executed': '1', 'content-length': 0 }).end();
      return;
    }
    const run = { id, engine: this.id, at: now(), body: Buffer.concat(chunks).toString() };
    this.runs.push(run);
    await sleep(this.workMs);
    if (response.destroyed) return;
    const body = `answer to ${id}`;
    response.writeHead(200, {
      'Attempt-Id': id,
      'Response-Seal': `${this.id}.${id}`,
      'content-length': body.length,
    });
    response.end(body);
  }
}
