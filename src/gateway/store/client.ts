/**
 * The object store over HTTP, in the dialect of the platform.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Pool } from 'undici';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { callWithin } from '../../core/timeout/index.js';
import type {
  StoreCall,
  StoreChanges,
  StoreDialect,
  StoreObject,
  StorePage,
  WriteAnswer,
} from '../../ports/index.js';

/** A call to the store that brought nothing; after `platformOutcomeUnknown` a write may stand. */
export type StoreFailure = Failure<'platformUnavailable' | 'platformOutcomeUnknown'>;

/** What a watch brings. `historyGone`: list again, the changes in between are no longer kept. */
export type WatchAnswer = { kind: 'changes'; changes: StoreChanges } | { kind: 'historyGone' };

/** The store as the parts of a gateway use it. */
export interface ObjectStore {
  /** All objects of a kind, over as many pages as there are. */
  list(kind: string): ResultAsync<StorePage, StoreFailure>;
  /** Undefined when there is no such object. */
  read(kind: string, name: string): ResultAsync<StoreObject | undefined, StoreFailure>;
  watch(
    kind: string,
    since: number,
    waitMs: Milliseconds,
    signal: AbortSignal,
  ): ResultAsync<WatchAnswer, StoreFailure>;
  /** Takes effect only while the object has `revision`; without one, only if it does not exist. */
  write(
    kind: string,
    name: string,
    value: unknown,
    revision?: number,
  ): ResultAsync<WriteAnswer, StoreFailure>;
  close(): Promise<void>;
}

interface ObjectStoreOptions {
  /** `host:port`. */
  address: string;
  dialect: StoreDialect;
  timeoutMs: Milliseconds;
  /** Called with each call that is sent. */
  onCall(): void;
}

interface StoreAnswer {
  status: number;
  body: string;
}

const CONNECTIONS = 8;
/** The store answers within milliseconds; a connection that takes longer is made anew. */
const CONNECT_TIMEOUT_MS: Milliseconds = 800;
/**
 * A watch without an answer this long after its time is on a connection that is cut: a store that is
 * slow, at fifty times its usual 4 ms, still answers within this.
 */
const WATCH_LATE_MS: Milliseconds = 800;
/** Pages of one list at most; a page holds about 500 objects. */
const MOST_PAGES = 100;
const STATUS_BUSY = 503;
const STATUS_TOO_MANY = 429;

/**
 * A client of the store at one address.
 *
 * @example const store = createObjectStore(options); const page = await store.list('servers');
 */
export function createObjectStore(options: ObjectStoreOptions): ObjectStore {
  const { dialect, timeoutMs } = options;
  const pool = new Pool(`http://${options.address}`, {
    connections: CONNECTIONS,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const send = (
    call: StoreCall,
    waitMs: Milliseconds,
    signal?: AbortSignal,
  ): ResultAsync<StoreAnswer, StoreFailure> => {
    options.onCall();
    const request = callWithin(
      waitMs,
      async (ended) => {
        const { statusCode, body } = await pool.request({
          method: call.method,
          path: call.path,
          headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
          body: call.body ?? null,
          signal: ended,
        });
        return { status: statusCode, body: await body.text() };
      },
      signal,
    );
    return ResultAsync.fromPromise(request, (error) =>
      createFailure('platformUnavailable', { reason: describeError(error) }),
    );
  };
  const listAfter = (
    kind: string,
    pages: readonly StorePage[],
  ): Promise<Result<StorePage, StoreFailure>> =>
    listPages({ dialect, kind, pages, send: (call) => send(call, timeoutMs) });

  return {
    list: (kind) => new ResultAsync(listAfter(kind, [])),
    read: (kind, name) =>
      send(dialect.read(kind, name), timeoutMs).andThen(({ status, body }) => {
        if (status === 404) return ok(undefined);
        const object = status === 200 ? dialect.decodeObject(body) : undefined;
        return object ? ok(object) : err(unreadable(status));
      }),
    watch: (kind, since, waitMs, signal) =>
      send(dialect.watch(kind, since, waitMs), waitMs + WATCH_LATE_MS, signal).andThen(
        ({ status, body }): Result<WatchAnswer, StoreFailure> => {
          if (dialect.isHistoryGone(status)) return ok({ kind: 'historyGone' });
          const changes = status === 200 ? dialect.decodeChanges(body) : undefined;
          return changes ? ok({ kind: 'changes', changes }) : err(unreadable(status));
        },
      ),
    write: (kind, name, value, revision) => {
      const call =
        revision === undefined
          ? dialect.create(kind, name, value)
          : dialect.replace(kind, name, value, revision);
      return send(call, timeoutMs)
        .mapErr(({ message }): StoreFailure =>
          createFailure('platformOutcomeUnknown', { reason: message }),
        )
        .andThen(({ status, body }) => {
          const answer = dialect.decodeWrite(status, body);
          return answer ? ok(answer) : err(refusedWrite(status));
        });
    },
    close: () => pool.destroy(),
  };
}

interface ListProgress {
  dialect: StoreDialect;
  kind: string;
  pages: readonly StorePage[];
  send: (call: StoreCall) => ResultAsync<StoreAnswer, StoreFailure>;
}

async function listPages(progress: ListProgress): Promise<Result<StorePage, StoreFailure>> {
  const { dialect, kind, send } = progress;
  const pages = [...progress.pages];
  while (pages.length < MOST_PAGES) {
    const after = pages.at(-1)?.objects.at(-1)?.name;
    const answer = await send(dialect.list(kind, after));
    if (answer.isErr()) return err(answer.error);
    const { status, body } = answer.value;
    const page = status === 200 ? dialect.decodePage(body) : undefined;
    if (page === undefined) return err(unreadable(status));
    pages.push(page);
    if (!page.more || page.objects.length === 0) break;
  }
  // Changes between two pages are brought again by a watch from the first page's revision.
  const revision = pages[0]?.revision ?? 0;
  return ok({ objects: pages.flatMap(({ objects }) => objects), more: false, revision });
}

function unreadable(status: number): StoreFailure {
  return createFailure('platformUnavailable', { reason: `status ${status}` });
}

/** These statuses say that nothing was done; of any other the outcome is not known. */
function refusedWrite(status: number): StoreFailure {
  const isRefusal = status === STATUS_BUSY || status === STATUS_TOO_MANY || status === 400;
  const kind = isRefusal ? 'platformUnavailable' : 'platformOutcomeUnknown';
  return createFailure(kind, { reason: `status ${status}` });
}

function describeError(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : 'unknown error';
}
