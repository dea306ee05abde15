/**
 * A stand-in for the platform's object store that can inject faults.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { hardReset } from '../../support/hard-reset.js';

interface StoredObject {
  metadata: { name: string; revision: number; created_rev: number };
  spec: unknown;
}

interface Change {
  revision: number;
  kind: string;
  object: StoredObject;
  deleted: boolean;
}

/**
 * How the store treats calls. `silent`: new calls and waiting watches are never answered, not even
 * after the fault has ended. `silentWatches`: the same for waiting watches only.
 */
export type StoreFault = 'none' | 'down' | 'reset' | 'silent' | 'silentWatches' | 'loseWrites';

/** State that the store can be restored from. */
interface StoreCopy {
  revision: number;
  kinds: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
  changes: readonly Change[];
}

/** Era of a store that has been restored before. */
const FIRST_ERA = 3;

/** A store that runs in the process of the scenario. */
export class StoreStandIn {
  private currentFault: StoreFault = 'none';
  /** Accepted conditional writes as `kind/name`, newest last. */
  readonly writes: string[] = [];
  calls = 0;
  /** Kinds that were listed, read or watched. */
  readonly calledKinds = new Set<string>();
  /** Kinds whose calls are never answered. */
  readonly silentKinds = new Set<string>();
  private readonly kinds = new Map<string, Map<string, StoredObject>>();
  private readonly changes: Change[] = [];
  private readonly waitingWatches = new Set<() => void>();
  private revision = 1;
  /** Sent with each answer; increases with each restore. */
  private era = FIRST_ERA;
  private copy: StoreCopy | undefined;
  /** Number of times that the store has stopped answering; watches from before are never answered. */
  private hangCount = 0;
  private readonly server: Server;
  private readonly views: Server[] = [];
  private readonly translations = new WeakMap<ServerResponse, (text: string) => string>();

  constructor() {
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
  }

  get fault(): StoreFault {
    return this.currentFault;
  }

  set fault(fault: StoreFault) {
    this.currentFault = fault;
    if (fault === 'silent' || fault === 'silentWatches') this.hangCount += 1;
  }

  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  listen(): Promise<void> {
    return new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
  }

  /** Listens at one more address, whose answers are translated; resolves with the address. */
  async openView(translate: (text: string) => string): Promise<string> {
    const view = createServer((request, response) => {
      this.translations.set(response, translate);
      void this.handle(request, response);
    });
    this.views.push(view);
    await new Promise<void>((resolve) => view.listen(0, '127.0.0.1', resolve));
    const { address, port } = view.address() as AddressInfo;
    return `${address}:${port}`;
  }

  close(): void {
    for (const server of [this.server, ...this.views]) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Writes an object unconditionally, like an operator or backend server. */
  put(kind: string, name: string, spec: unknown): void {
    this.storeObject(kind, name, spec);
  }

  remove(kind: string, name: string): void {
    const object = this.kinds.get(kind)?.get(name);
    if (!object) return;
    this.kinds.get(kind)?.delete(name);
    this.revision += 1;
    const metadata = { ...object.metadata, revision: this.revision };
    this.appendChange({
      revision: this.revision,
      kind,
      object: { ...object, metadata },
      deleted: true,
    });
  }

  /** Makes lists and watches of `kind` return `item` unchanged, as another writer may have left it. */
  putRaw(kind: string, name: string, item: unknown): void {
    this.revision += 1;
    const objects = this.kinds.get(kind) ?? new Map<string, StoredObject>();
    this.kinds.set(kind, objects);
    objects.set(name, item as StoredObject);
    this.appendChange({
      revision: this.revision,
      kind,
      object: item as StoredObject,
      deleted: false,
    });
  }

  read(kind: string, name: string): unknown {
    return this.kinds.get(kind)?.get(name)?.spec;
  }

  /** Discards the history: watches of earlier revisions are told that it is gone. */
  compact(): void {
    this.changes.length = 0;
    this.revision += 1;
    this.wakeWatches();
  }

  saveCopy(): void {
    const kinds = [...this.kinds].map(([kind, objects]) => [kind, new Map(objects)] as const);
    this.copy = { revision: this.revision, kinds: new Map(kinds), changes: [...this.changes] };
  }

  /**
   * Restores the copy: later writes are lost, and their revisions are assigned again. Waiting watches
   * are never answered.
   */
  restoreCopy(): void {
    if (!this.copy) throw new Error('there is no copy');
    const { revision, kinds, changes } = this.copy;
    this.revision = revision;
    this.changes.splice(0, this.changes.length, ...changes);
    this.kinds.clear();
    for (const [kind, objects] of kinds) this.kinds.set(kind, new Map(objects));
    this.era += 1;
    this.hangCount += 1;
    this.wakeWatches();
    this.server.closeAllConnections();
  }

  private storeObject(kind: string, name: string, spec: unknown): StoredObject {
    this.revision += 1;
    const objects = this.kinds.get(kind) ?? new Map<string, StoredObject>();
    this.kinds.set(kind, objects);
    const created = objects.get(name)?.metadata.created_rev ?? this.revision;
    const object = { metadata: { name, revision: this.revision, created_rev: created }, spec };
    objects.set(name, object);
    this.appendChange({ revision: this.revision, kind, object, deleted: false });
    return object;
  }

  private appendChange(change: Change): void {
    this.changes.push(change);
    this.wakeWatches();
  }

  private wakeWatches(): void {
    for (const wake of [...this.waitingWatches]) wake();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.calls += 1;
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (this.fault === 'silent') return;
    if (this.fault === 'reset') {
      hardReset(request.socket);
      return;
    }
    if (this.fault === 'down') {
      this.answer(response, 503, { error: 'down' });
      return;
    }
    const url = new URL(request.url ?? '/', 'http://store');
    const [, , kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
    this.calledKinds.add(kind);
    if (this.silentKinds.has(kind)) return;
    const body =
      chunks.length > 0
        ? (JSON.parse(Buffer.concat(chunks).toString()) as StoredObject)
        : undefined;
    if (request.method === 'GET') await this.get(kind, name, url, response);
    else if (request.method === 'DELETE') this.delete(kind, name ?? '', url, response);
    else if (body) this.write(kind, name ?? body.metadata.name, body, request.method, response);
  }

  private async get(
    kind: string,
    name: string | undefined,
    url: URL,
    response: ServerResponse,
  ): Promise<void> {
    const objects = this.kinds.get(kind) ?? new Map<string, StoredObject>();
    if (name !== undefined) {
      const object = objects.get(name);
      this.answer(response, object ? 200 : 404, object ?? { as_of: this.revision });
      return;
    }
    const watch = url.searchParams.get('watch');
    if (watch === null) {
      this.answer(response, 200, {
        items: [...objects.values()],
        has_more: false,
        as_of: this.revision,
      });
      return;
    }
    await this.watch(kind, Number(watch), Number(url.searchParams.get('wait_ms')), response);
  }

  private async watch(
    kind: string,
    since: number,
    waitMs: number,
    response: ServerResponse,
  ): Promise<void> {
    const endAt = performance.now() + waitMs;
    const { hangCount: silences } = this;
    for (;;) {
      const oldest = this.changes[0]?.revision ?? this.revision;
      const isUnknown = since > this.revision;
      if (isUnknown || (since + 1 < oldest && since < this.revision)) {
        this.answer(response, 410, { as_of: this.revision });
        return;
      }
      const events = this.changes.filter(
        (change) => change.kind === kind && change.revision > since,
      );
      const leftMs = endAt - performance.now();
      if (events.length > 0 || leftMs <= 0 || response.destroyed) {
        const listed = events.map(({ object, deleted }) => ({ object, deleted }));
        this.answer(response, 200, { events: listed, as_of: this.revision });
        return;
      }
      await new Promise<void>((resolve) => {
        const done = (): void => {
          this.waitingWatches.delete(done);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(done, leftMs);
        this.waitingWatches.add(done);
      });
      if (silences !== this.hangCount || this.fault === 'silentWatches') return;
    }
  }

  private write(
    kind: string,
    name: string,
    body: StoredObject,
    method: string | undefined,
    response: ServerResponse,
  ): void {
    const current = this.kinds.get(kind)?.get(name);
    const isCreate = method === 'POST';
    const expected = (body.metadata as Partial<StoredObject['metadata']>).revision;
    const conflicts = isCreate
      ? current !== undefined
      : expected !== undefined && current?.metadata.revision !== expected;
    if (conflicts) {
      this.answer(response, 409, current ?? {});
      return;
    }
    if (!isCreate && current === undefined) {
      this.answer(response, 404, {});
      return;
    }
    this.writes.push(`${kind}/${name}`);
    const object = this.storeObject(kind, name, body.spec);
    if (this.fault === 'loseWrites') response.destroy();
    else this.answer(response, 200, object);
  }

  private delete(kind: string, name: string, url: URL, response: ServerResponse): void {
    const current = this.kinds.get(kind)?.get(name);
    const revision = url.searchParams.get('revision');
    if (current && revision !== null && Number(revision) !== current.metadata.revision) {
      this.answer(response, 409, current);
      return;
    }
    if (current) this.remove(kind, name);
    this.answer(response, current ? 200 : 404, current ?? {});
  }

  private answer(response: ServerResponse, status: number, body: unknown): void {
    const translate = this.translations.get(response);
    const text = translate ? translate(JSON.stringify(body)) : JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      'Store-Era': this.era,
    });
    response.end(text);
  }
}
