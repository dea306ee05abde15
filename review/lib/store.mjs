/** A stand-in for the platform's metadata store, as PROTOCOL.md describes it. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

export class Store {
  constructor() {
    this.revision = 1;
    this.kinds = new Map();
    this.changes = [];
    this.waiting = new Set();
    /** When each kind was last asked for without waiting for a change. */
    this.polledAt = new Map();
    /** Sent with each answer once the store has taken part in drills. */
    this.era = undefined;
    this.copy = undefined;
    this.isAway = false;
    /** When each server last wrote its entry; others don't expire. */
    this.renewedAt = new Map();
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async listen(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  objects(kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    return this.kinds.get(kind);
  }

  /** Writes an object; a write that changes nothing does not increase the revision. */
  put(kind, name, spec) {
    const before = this.objects(kind).get(name);
    if (before && JSON.stringify(before.spec) === JSON.stringify(spec)) return before;
    this.revision += 1;
    const metadata = {
      name,
      revision: this.revision,
      created_rev: before?.metadata.created_rev ?? this.revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, spec, status: null };
    this.objects(kind).set(name, object);
    this.append(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const before = this.objects(kind).get(name);
    if (!before) return;
    this.objects(kind).delete(name);
    this.revision += 1;
    const metadata = { ...before.metadata, revision: this.revision };
    this.append(kind, { ...before, metadata }, true);
  }

  /** Writes the entry of a server, which expires if it is not written again. */
  renew(name, spec) {
    this.put('servers', name, spec);
    this.renewedAt.set(name, performance.now());
  }

  /** Removes entries that were not written for `silenceMs`. */
  expire(silenceMs) {
    for (const [name, at] of this.renewedAt) {
      if (performance.now() - at < silenceMs) continue;
      this.renewedAt.delete(name);
      this.remove('servers', name);
    }
  }

  saveCopy() {
    const kinds = [...this.kinds].map(([kind, objects]) => [kind, new Map(objects)]);
    this.copy = { kinds: new Map(kinds), changes: [...this.changes], revision: this.revision };
  }

  /** Goes away: connections are closed and new calls get no answer until the store is back. */
  goAway() {
    this.isAway = true;
    this.cutWatches();
    this.server.closeAllConnections();
  }

  /** Comes back from the copy; silence of servers counts from now. */
  comeBackFromCopy() {
    const { kinds, changes, revision } = this.copy;
    this.kinds = new Map([...kinds].map(([kind, objects]) => [kind, new Map(objects)]));
    this.changes = [...changes];
    this.revision = revision;
    this.era += 1;
    this.isAway = false;
    for (const name of this.renewedAt.keys()) {
      if (this.objects('servers').has(name)) this.renewedAt.set(name, performance.now());
      else this.renewedAt.delete(name);
    }
  }

  append(kind, object, deleted) {
    this.changes.push({ kind, revision: this.revision, object, deleted });
    for (const watch of [...this.waiting]) watch.wake();
  }

  /** Cuts off the watches that wait now; their connections close without an answer. */
  cutWatches() {
    const cut = [...this.waiting];
    for (const watch of cut) watch.cut();
    return cut.length;
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.isAway) {
      request.socket.destroy();
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const url = new URL(request.url, 'http://store');
    const [, , kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
    const body = text === '' ? undefined : JSON.parse(text);
    if (request.method === 'GET') await this.get(kind, name, url, response);
    else if (request.method === 'POST') this.create(kind, body, response);
    else if (request.method === 'PUT') this.replace(kind, name, body, response);
    else if (request.method === 'DELETE') this.delete(kind, name, url, response);
    else this.answer(response, 400, {});
  }

  async get(kind, name, url, response) {
    if (name !== undefined) {
      const object = this.objects(kind).get(name);
      this.answer(response, object ? 200 : 404, object ?? {});
      return;
    }
    if (url.searchParams.has('watch')) {
      const since = Number(url.searchParams.get('watch'));
      await this.watch(kind, since, Number(url.searchParams.get('wait_ms')), response);
      return;
    }
    const after = url.searchParams.get('after') ?? '';
    const items = [...this.objects(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    this.answer(response, 200, {
      items: items.slice(0, 500),
      has_more: items.length > 500,
      as_of: this.revision,
    });
  }

  async watch(kind, since, waitMs, response) {
    if (waitMs <= 1) this.polledAt.set(kind, performance.now());
    const endsAt = Date.now() + waitMs;
    let abandon = () => undefined;
    response.once('close', () => abandon());
    for (;;) {
      if (since > this.revision) {
        this.answer(response, 410, { as_of: this.revision });
        return;
      }
      const events = this.changes
        .filter((change) => change.kind === kind && change.revision > since)
        .map(({ object, deleted }) => ({ object, deleted }));
      const leftMs = endsAt - Date.now();
      if (events.length > 0 || leftMs <= 0) {
        this.answer(response, 200, { events, as_of: this.revision });
        return;
      }
      const isCut = await new Promise((resolve) => {
        const watch = {
          wake: () => settle(false),
          cut: () => settle(true),
        };
        const settle = (result) => {
          this.waiting.delete(watch);
          clearTimeout(timer);
          resolve(result);
        };
        const timer = setTimeout(watch.wake, leftMs);
        this.waiting.add(watch);
        abandon = watch.wake;
      });
      if (response.destroyed) return;
      if (isCut) {
        response.socket.destroy();
        return;
      }
    }
  }

  create(kind, body, response) {
    const { name } = body.metadata;
    const existing = this.objects(kind).get(name);
    if (existing) this.answer(response, 409, existing);
    else this.answer(response, 201, this.put(kind, name, body.spec));
  }

  replace(kind, name, body, response) {
    const existing = this.objects(kind).get(name);
    const expected = body.metadata?.revision;
    if (!existing) this.answer(response, 404, {});
    else if (expected !== undefined && expected !== existing.metadata.revision)
      this.answer(response, 409, existing);
    else this.answer(response, 200, this.put(kind, name, body.spec));
  }

  delete(kind, name, url, response) {
    const existing = this.objects(kind).get(name);
    const expected = url.searchParams.get('revision');
    if (!existing) this.answer(response, 404, {});
    else if (expected !== null && Number(expected) !== existing.metadata.revision)
      this.answer(response, 409, existing);
    else {
      this.remove(kind, name);
      this.answer(response, 200, existing);
    }
  }

  answer(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...(this.era !== undefined && { 'Store-Era': this.era }),
    });
    response.end(text);
  }
}
