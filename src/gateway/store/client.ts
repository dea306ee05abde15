/**
 * HTTP client of the object store. The platform's codec encodes calls and decodes answers.
 */
import { createConnector } from '../../core/sockets/index.js';
import { err, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import { Pool } from 'undici';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { callWhileProgressing } from '../../core/timeout/index.js';
import {
  eraOf,
  qualifyChanges,
  qualifyObject,
  qualifyPage,
  qualifyWrite,
  revisionOf,
} from './qualified-revision.js';
import type {
  StoreCall,
  StoreChanges,
  StoreCodec,
  StoreObject,
  StorePage,
  WriteResult,
} from '../../ports/index.js';

/** A failed call to the store. After `platformOutcomeUnknown` a write may have taken effect. */
export type StoreFailure = Failure<'platformUnavailable' | 'platformOutcomeUnknown'>;

/** Result of a watch. `historyGone`: the store has discarded the changes; the caller must relist. */
export type WatchAnswer = { kind: 'changes'; changes: StoreChanges } | { kind: 'historyGone' };

/** Lets the sender of a call end it, and see that its answer is arriving. */
export interface CallOptions {
  signal?: AbortSignal;
  onProgress?: () => void;
}

/** The object store, as used by the components of a gateway. */
export interface ObjectStore {
  /** All objects of a kind, read page by page. */
  list(kind: string, call?: CallOptions): ResultAsync<StorePage, StoreFailure>;
  /** Resolves to undefined when the object does not exist. */
  read(kind: string, name: string): ResultAsync<StoreObject | undefined, StoreFailure>;
  watch(
    kind: string,
    since: number,
    waitMs: Milliseconds,
    call: CallOptions,
  ): ResultAsync<WatchAnswer, StoreFailure>;
  /** Conditional write: requires `revision`, or without one that the object does not exist. */
  write(
    kind: string,
    name: string,
    value: unknown,
    revision?: number,
  ): ResultAsync<WriteResult, StoreFailure>;
  /** Removes an object unless it has changed since `revision`. The result is not reported. */
  remove(kind: string, name: string, revision: number): ResultAsync<void, StoreFailure>;
  /** The cheapest call that shows whether the store answers. */
  check(kind: string, name: string): ResultAsync<void, StoreFailure>;
  /**
   * Sends further calls on new connections; calls in flight keep theirs. Used when a connection may
   * have died without being closed.
   */
  replaceConnections(): void;
  /** How often the store has been restored from an older copy, as far as is known. */
  era(): number;
  /** Records an era that was learned from a peer rather than from a call. */
  observeEra(era: number): void;
  close(): Promise<void>;
}

interface ObjectStoreOptions {
  /** `host:port`. */
  address: string;
  codec: StoreCodec;
  timeoutMs: Milliseconds;
  clock: Clock;
  /** Called for each call that is sent. */
  onCall(): void;
  /** Called with the outcome of each call, unless its caller aborted it. */
  onOutcome(outcome: CallOutcome): void;
  /** Called when it is first known how often the store has been restored. */
  onFirstEra(era: number): void;
  /** Called when the store has been restored from an older copy. */
  onRestore(era: number, before: number): void;
}

/** A `watch` waits for a change; one that returns what there is counts as a `read`. */
export type CallKind = 'read' | 'write' | 'watch';

/** The outcome of one call, used to track whether the store is reachable. */
export interface CallOutcome {
  kind: CallKind;
  sentAt: Milliseconds;
  failure: StoreFailure | undefined;
}

interface StoreAnswer {
  status: number;
  body: string;
  era: number;
}

const MAX_CONNECTIONS = 8;
const CONNECT_TIMEOUT_MS: Milliseconds = 800;
/**
 * Added to the wait of a watch before its connection counts as dead. A store at two hundred times its
 * usual 4 ms still answers within it.
 */
const WATCH_GRACE_MS: Milliseconds = 900;
/** Longest time for an answer of which parts keep coming, as over a link that is full. */
const WHOLE_ANSWER_MS: Milliseconds = 10_000;
/** Far above an answer with all objects of a page. */
const MAX_ANSWER_BYTES = 33_554_432;
/** Limits one list; a page holds about 500 objects. */
const MAX_PAGES = 100;
const STATUS_UNAVAILABLE = 503;
const MIN_SERVER_ERROR_STATUS = 500;
const STATUS_TOO_MANY_REQUESTS = 429;

/**
 * Creates a client of the store at one address.
 *
 * @example const store = createObjectStore(options); const page = await store.list('servers');
 */
export function createObjectStore(options: ObjectStoreOptions): ObjectStore {
  const { codec, timeoutMs, clock } = options;
  let pool = createPool(options.address);
  const retired = new Set<Pool>();
  const replaceConnections = (): void => {
    const previous = pool;
    pool = createPool(options.address);
    retired.add(previous);
    // Resolves once the calls in flight have ended.
    void previous.close().finally(() => retired.delete(previous));
  };
  /** Undefined until the first answer. */
  let currentEra: number | undefined;
  const era = (): number => currentEra ?? 0;
  const observeEra = (observed: number): void => {
    const before = currentEra;
    if (before !== undefined && observed <= before) return;
    currentEra = observed;
    if (before === undefined) options.onFirstEra(observed);
    else options.onRestore(observed, before);
  };
  /** Whether a qualified revision belongs to a history that a restore has replaced. */
  const isFromEarlierEra = (revision: number): boolean => revision > 0 && eraOf(revision) < era();
  /** After a failed call the other connections of its pool may be dead too. */
  const replaceIfCurrent = (failedPool: Pool): void => {
    if (failedPool === pool) replaceConnections();
  };
  const send = (
    call: StoreCall,
    waitMs: Milliseconds,
    { signal, onProgress }: CallOptions = {},
    kind: CallKind = call.method === 'GET' ? 'read' : 'write',
  ): ResultAsync<StoreAnswer, StoreFailure> => {
    options.onCall();
    const sentAt = clock.now();
    const usedPool = pool;
    const request = callWhileProgressing(
      { firstMs: waitMs, idleMs: timeoutMs, wholeMs: WHOLE_ANSWER_MS },
      async (callSignal, onPart) => {
        const { statusCode, headers, body } = await usedPool.request({
          method: call.method,
          path: call.path,
          headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
          body: call.body ?? null,
          signal: callSignal,
        });
        const text = await readText(body, () => {
          onPart();
          onProgress?.();
        });
        return {
          status: statusCode,
          body: text,
          era: codec.decodeEra(headers),
        };
      },
      signal,
    );
    return ResultAsync.fromPromise(request, (error) =>
      createFailure('platformUnavailable', { reason: describeError(error) }),
    )
      .mapErr((failure) => {
        if (signal?.aborted) return failure;
        replaceIfCurrent(usedPool);
        options.onOutcome({ kind, sentAt, failure });
        return failure;
      })
      .andThen((answer) => {
        const rejection = findRejection(answer);
        observeEra(answer.era);
        // Sent before the restore and received late: it describes the replaced history.
        if (!rejection && answer.era < era()) return err(staleAnswer());
        options.onOutcome({ kind, sentAt, failure: rejection });
        return ok(answer);
      });
  };
  const listFrom = (
    kind: string,
    pages: readonly StorePage[],
    options?: CallOptions,
  ): Promise<Result<StorePage, StoreFailure>> =>
    listPages({ codec, kind, pages, send: (call) => send(call, timeoutMs, options) });

  return {
    replaceConnections,
    list: (kind, call) => new ResultAsync(listFrom(kind, [], call)),
    read: (kind, name) =>
      send(codec.read(kind, name), timeoutMs).andThen((answer) => {
        const { status, body } = answer;
        if (status === 404) return ok(undefined);
        const object = status === 200 ? codec.decodeObject(body) : undefined;
        return object ? ok(qualifyObject(object, answer.era)) : err(unusableAnswer(status));
      }),
    watch: (kind, since, waitMs, call) => {
      if (isFromEarlierEra(since)) return okAsync({ kind: 'historyGone' });
      return send(
        codec.watch(kind, revisionOf(since), waitMs),
        Math.max(timeoutMs, waitMs + WATCH_GRACE_MS),
        call,
        waitMs > timeoutMs ? 'watch' : 'read',
      ).andThen((answer): Result<WatchAnswer, StoreFailure> => {
        const { status, body } = answer;
        if (codec.isHistoryGone(status) || isFromEarlierEra(since))
          return ok({ kind: 'historyGone' });
        const changes = status === 200 ? codec.decodeChanges(body) : undefined;
        return changes
          ? ok({ kind: 'changes', changes: qualifyChanges(changes, answer.era) })
          : err(unusableAnswer(status));
      });
    },
    check: (kind, name) => send(codec.check(kind, name), timeoutMs).map(() => undefined),
    write: (kind, name, value, revision) => {
      // After a restore the same revision may stand for another state of the object.
      if (revision !== undefined && isFromEarlierEra(revision))
        return okAsync({ kind: 'conflict' });
      const call =
        revision === undefined
          ? codec.create(kind, name, value)
          : codec.replace(kind, name, value, revisionOf(revision));
      return send(call, timeoutMs)
        .mapErr(({ message }): StoreFailure =>
          createFailure('platformOutcomeUnknown', { reason: message }),
        )
        .andThen(({ status, body, era: answerEra }): Result<WriteResult, StoreFailure> => {
          if (revision !== undefined && isFromEarlierEra(revision)) return err(staleWrite());
          const answer = codec.decodeWrite(status, body);
          return answer ? ok(qualifyWrite(answer, answerEra)) : err(failedWrite(status));
        });
    },
    remove: (kind, name, revision) =>
      isFromEarlierEra(revision)
        ? okAsync(undefined)
        : send(codec.remove(kind, name, revisionOf(revision)), timeoutMs).map(() => undefined),
    era,
    observeEra,
    close: async () => {
      await Promise.all([pool, ...retired].map((each) => each.destroy()));
    },
  };
}

async function readText(body: AsyncIterable<unknown>, onPart: () => void): Promise<string> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of body as AsyncIterable<Buffer>) {
    onPart();
    bytes += part.length;
    if (bytes > MAX_ANSWER_BYTES) throw new Error(`the answer has over ${MAX_ANSWER_BYTES} bytes`);
    parts.push(part);
  }
  return Buffer.concat(parts).toString();
}

function createPool(address: string): Pool {
  return new Pool(`http://${address}`, {
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    connect: createConnector(CONNECT_TIMEOUT_MS),
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/** A failure when the store answered 429 or with a server error. */
function findRejection({ status }: StoreAnswer): StoreFailure | undefined {
  const isRejected = status === STATUS_TOO_MANY_REQUESTS || status >= MIN_SERVER_ERROR_STATUS;
  return isRejected ? unusableAnswer(status) : undefined;
}

interface ListOptions {
  codec: StoreCodec;
  kind: string;
  pages: readonly StorePage[];
  send: (call: StoreCall) => ResultAsync<StoreAnswer, StoreFailure>;
}

async function listPages(options: ListOptions): Promise<Result<StorePage, StoreFailure>> {
  const { codec, kind, send } = options;
  const pages = [...options.pages];
  while (pages.length < MAX_PAGES) {
    const after = pages.at(-1)?.objects.at(-1)?.name;
    const answer = await send(codec.list(kind, after));
    if (answer.isErr()) return err(answer.error);
    const { status, body, era } = answer.value;
    const page = status === 200 ? codec.decodePage(body) : undefined;
    if (page === undefined) return err(unusableAnswer(status));
    const [first] = pages;
    if (first && eraOf(first.revision) !== era) return err(staleAnswer());
    pages.push(qualifyPage(page, era));
    if (!page.more || page.objects.length === 0) break;
  }
  // A watch from the first page's revision replays changes made between two pages.
  const revision = pages[0]?.revision ?? 0;
  return ok({ objects: pages.flatMap(({ objects }) => objects), more: false, revision });
}

function unusableAnswer(status: number): StoreFailure {
  return createFailure('platformUnavailable', { reason: `status ${status}` });
}

function staleAnswer(): StoreFailure {
  const reason = 'the store was restored from an older copy during the call';
  return createFailure('platformUnavailable', { reason });
}

/** The write may have matched the same revision in the new history. */
function staleWrite(): StoreFailure {
  return createFailure('platformOutcomeUnknown', { reason: staleAnswer().message });
}

/** With 400, 429 and 503 nothing was written; with any other status the outcome is unknown. */
function failedWrite(status: number): StoreFailure {
  const isRejected =
    status === STATUS_UNAVAILABLE || status === STATUS_TOO_MANY_REQUESTS || status === 400;
  const kind = isRejected ? 'platformUnavailable' : 'platformOutcomeUnknown';
  return createFailure(kind, { reason: `status ${status}` });
}

function describeError(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : 'unknown error';
}
