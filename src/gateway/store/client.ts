/**
 * The object store over HTTP, in the dialect of the platform.
 */
import { err, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import { Pool } from 'undici';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { callWithin } from '../../core/timeout/index.js';
import { eraOf, placeChanges, placeObject, placePage, placeWrite, revisionOf } from './place.js';
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
  /** How often the store has come back from an older copy, as far as is known. */
  era(): number;
  /** News of the new history have come another way than by a call. */
  learnEra(era: number): void;
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
  /** Called when the store has come back from an older copy. */
  onReturnFromCopy(era: number, before: number): void;
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
  era: number;
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
  /** Undefined until the store has answered. */
  let currentEra: number | undefined;
  const era = (): number => currentEra ?? 0;
  const learnEra = (next: number): void => {
    const before = currentEra;
    if (before !== undefined && next <= before) return;
    currentEra = next;
    if (before !== undefined) options.onReturnFromCopy(next, before);
  };
  /** A place in a history that the store has left. */
  const isFormer = (place: number): boolean => place > 0 && eraOf(place) < era();
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
        const { statusCode, headers, body } = await used.request({
          method: call.method,
          path: call.path,
          headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
          body: call.body ?? null,
          signal: ended,
        });
        return {
          status: statusCode,
          body: await body.text(),
          era: dialect.decodeEra(headers),
        };
      },
      signal,
    );
    return ResultAsync.fromPromise(request, (error) =>
      createFailure('platformUnavailable', { reason: describeError(error) }),
    )
      .mapErr((failure) => {
        if (signal?.aborted) return failure;
        doubt(used);
        options.onOutcome({ kind, sentAt, failure });
        return failure;
      })
      .andThen((answer) => {
        const refusal = findRefusal(answer);
        learnEra(answer.era);
        // From before the return, and late: it tells nothing of the store as it is now.
        if (!refusal && answer.era < era()) return err(outdated());
        options.onOutcome({ kind, sentAt, failure: refusal });
        return ok(answer);
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
      send(dialect.read(kind, name), timeoutMs).andThen((answer) => {
        const { status, body } = answer;
        if (status === 404) return ok(undefined);
        const object = status === 200 ? dialect.decodeObject(body) : undefined;
        return object ? ok(placeObject(object, answer.era)) : err(unreadable(status));
      }),
    watch: (kind, since, waitMs, signal) => {
      if (isFormer(since)) return okAsync({ kind: 'historyGone' });
      return send(
        dialect.watch(kind, revisionOf(since), waitMs),
        Math.max(timeoutMs, waitMs + WATCH_LATE_MS),
        signal,
      ).andThen((answer): Result<WatchAnswer, StoreFailure> => {
        const { status, body } = answer;
        if (dialect.isHistoryGone(status) || isFormer(since)) return ok({ kind: 'historyGone' });
        const changes = status === 200 ? dialect.decodeChanges(body) : undefined;
        return changes
          ? ok({ kind: 'changes', changes: placeChanges(changes, answer.era) })
          : err(unreadable(status));
      });
    },
    check: (kind, name) => send(dialect.check(kind, name), timeoutMs).map(() => undefined),
    write: (kind, name, value, revision) => {
      // The same number may now stand for another state of the object.
      if (revision !== undefined && isFormer(revision)) return okAsync({ kind: 'conflict' });
      const call =
        revision === undefined
          ? dialect.create(kind, name, value)
          : dialect.replace(kind, name, value, revisionOf(revision));
      return send(call, timeoutMs)
        .mapErr(({ message }): StoreFailure =>
          createFailure('platformOutcomeUnknown', { reason: message }),
        )
        .andThen(({ status, body, era: answered }): Result<WriteAnswer, StoreFailure> => {
          if (revision !== undefined && isFormer(revision)) return err(outdatedWrite());
          const answer = dialect.decodeWrite(status, body);
          return answer ? ok(placeWrite(answer, answered)) : err(refusedWrite(status));
        });
    },
    era,
    learnEra,
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
    const { status, body, era } = answer.value;
    const page = status === 200 ? dialect.decodePage(body) : undefined;
    if (page === undefined) return err(unreadable(status));
    const [first] = pages;
    if (first && eraOf(first.revision) !== era) return err(outdated());
    pages.push(placePage(page, era));
    if (!page.more || page.objects.length === 0) break;
  }
  // Changes between two pages are brought again by a watch from the first page's revision.
  const revision = pages[0]?.revision ?? 0;
  return ok({ objects: pages.flatMap(({ objects }) => objects), more: false, revision });
}

function unreadable(status: number): StoreFailure {
  return createFailure('platformUnavailable', { reason: `status ${status}` });
}

function outdated(): StoreFailure {
  const reason = 'the store has come back from a copy meanwhile';
  return createFailure('platformUnavailable', { reason });
}

/** It may have taken effect on the state that has the revision now. */
function outdatedWrite(): StoreFailure {
  return createFailure('platformOutcomeUnknown', { reason: outdated().message });
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
