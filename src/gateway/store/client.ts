/**
 * The object store over HTTP, in the dialect of the platform.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Pool } from 'undici';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
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
  list(kind: string, signal?: AbortSignal): ResultAsync<StorePage, StoreFailure>;
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
  /** Asks for as little as there is to ask for, whether the store answers. */
  check(kind: string, name: string): ResultAsync<void, StoreFailure>;
  /**
   * Uses connections that were made before now for no further call; those under way on them go on.
   * For connections that may bring nothing any more, which only the silence of one of them shows.
   */
  renew(): void;
  close(): Promise<void>;
}

interface ObjectStoreOptions {
  /** `host:port`. */
  address: string;
  dialect: StoreDialect;
  timeoutMs: Milliseconds;
  clock: Clock;
  /** Called with each call that is sent. */
  onCall(): void;
  /** Called with what each call showed of the store, unless its caller ended it. */
  onOutcome(outcome: CallOutcome): void;
}

/** What one call showed: the store answered it, or not. */
export interface CallOutcome {
  kind: 'read' | 'write';
  sentAt: Milliseconds;
  failure: StoreFailure | undefined;
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
 * slow, at two hundred times its usual 4 ms, still answers within this.
 */
const WATCH_LATE_MS: Milliseconds = 900;
/** Pages of one list at most; a page holds about 500 objects. */
const MOST_PAGES = 100;
const STATUS_BUSY = 503;
const LEAST_ERROR_STATUS = 500;
const STATUS_TOO_MANY = 429;

/**
 * A client of the store at one address.
 *
 * @example const store = createObjectStore(options); const page = await store.list('servers');
 */
export function createObjectStore(options: ObjectStoreOptions): ObjectStore {
  const { dialect, timeoutMs, clock } = options;
  let pool = createPool(options.address);
  const retired = new Set<Pool>();
  const renew = (): void => {
    const old = pool;
    pool = createPool(options.address);
    retired.add(old);
    // Resolves when the calls under way on it have ended.
    void old.close().finally(() => retired.delete(old));
  };
  /** Guards the calls to come: the connections that this one shared may bring nothing either. */
  const doubt = (used: Pool): void => {
    if (used === pool) renew();
  };
  const send = (
    call: StoreCall,
    waitMs: Milliseconds,
    signal?: AbortSignal,
  ): ResultAsync<StoreAnswer, StoreFailure> => {
    options.onCall();
    const kind = call.method === 'GET' ? 'read' : 'write';
    const sentAt = clock.now();
    const used = pool;
    const request = callWithin(
      waitMs,
      async (ended) => {
        const { statusCode, body } = await used.request({
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
    )
      .map((answer) => {
        options.onOutcome({ kind, sentAt, failure: findRefusal(answer) });
        return answer;
      })
      .mapErr((failure) => {
        if (signal?.aborted) return failure;
        doubt(used);
        options.onOutcome({ kind, sentAt, failure });
        return failure;
      });
  };
  const listAfter = (
    kind: string,
    pages: readonly StorePage[],
    signal?: AbortSignal,
  ): Promise<Result<StorePage, StoreFailure>> =>
    listPages({ dialect, kind, pages, send: (call) => send(call, timeoutMs, signal) });

  return {
    renew,
    list: (kind, signal) => new ResultAsync(listAfter(kind, [], signal)),
    read: (kind, name) =>
      send(dialect.read(kind, name), timeoutMs).andThen(({ status, body }) => {
        if (status === 404) return ok(undefined);
        const object = status === 200 ? dialect.decodeObject(body) : undefined;
        return object ? ok(object) : err(unreadable(status));
      }),
    watch: (kind, since, waitMs, signal) =>
      send(
        dialect.watch(kind, since, waitMs),
        Math.max(timeoutMs, waitMs + WATCH_LATE_MS),
        signal,
      ).andThen(({ status, body }): Result<WatchAnswer, StoreFailure> => {
        if (dialect.isHistoryGone(status)) return ok({ kind: 'historyGone' });
        const changes = status === 200 ? dialect.decodeChanges(body) : undefined;
        return changes ? ok({ kind: 'changes', changes }) : err(unreadable(status));
      }),
    check: (kind, name) => send(dialect.check(kind, name), timeoutMs).map(() => undefined),
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
    close: async () => {
      await Promise.all([pool, ...retired].map((each) => each.destroy()));
    },
  };
}

function createPool(address: string): Pool {
  return new Pool(`http://${address}`, {
    connections: CONNECTIONS,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/** Something answers, but does nothing for this gateway. */
function findRefusal({ status }: StoreAnswer): StoreFailure | undefined {
  const isTurnedAway = status === STATUS_TOO_MANY || status >= LEAST_ERROR_STATUS;
  return isTurnedAway ? unreadable(status) : undefined;
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
