/**
 * The platform's object API over HTTP.
 */
import { err, errAsync, ok, ResultAsync, type Result } from 'neverthrow';
import * as z from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure } from '../../core/errors/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Random } from '../../core/random/index.js';
import { storedObjectSchema } from '../../objects/index.js';
import { parseAnswer, toFailure, toReadFailure } from './answers.js';
import { createPlatformCaller, type PlatformAnswer, type PlatformCaller } from './call.js';
import {
  batchResultSchema,
  conflictSchema,
  MAX_BATCH_WRITES,
  MAX_VALUE_BYTES,
  objectListSchema,
  type BatchResult,
  type ObjectList,
} from './protocol.js';
import { resolveConflict, settleSending, type Sending } from './settle.js';
import type { Platform, PlatformFailure, PlatformWrite, WriteOutcome } from './types.js';

interface PlatformClientOptions {
  /** `host:port`. */
  address: string;
  /** Longest wait for one call; a watch has its own waiting time on top. */
  timeoutMs: Milliseconds;
  random: Random;
  logger: Logger;
}

const itemListSchema = objectListSchema.extend({ objects: z.array(z.unknown()) });

/** A {@link Platform} that holds connections. */
export interface PlatformClient extends Platform {
  /** Closes the connections; calls under way fail. */
  close(): Promise<void>;
}

/**
 * A client of the platform at one address.
 *
 * Reads fail with `platformUnavailable` whenever no answer came. Writes do so only when they
 * certainly had no effect; see `settle.ts` for lost answers.
 *
 * @example
 * const platform = createPlatformClient({ address, timeoutMs: 2_000, random, logger });
 * const read = await platform.read('model', 'pass-assistant');
 */
export function createPlatformClient(options: PlatformClientOptions): PlatformClient {
  const { timeoutMs } = options;
  const caller = createPlatformCaller(options.address, timeoutMs);
  caller.onReturn(() => {
    options.logger.log('platformReturned');
  });

  const get = (
    path: string,
    waitMs: Milliseconds = 0,
    signal?: AbortSignal,
  ): ResultAsync<PlatformAnswer, PlatformFailure> =>
    caller
      .call({ method: 'GET', path, timeoutMs: timeoutMs + waitMs, ...(signal && { signal }) })
      .mapErr(toReadFailure);

  /** Leaves out what is no object, so that it doesn't hide the others. */
  const parseList = (answer: PlatformAnswer, name: string): Result<ObjectList, PlatformFailure> =>
    parseOk(itemListSchema, answer, name).map(({ objects: items, revision }) => {
      const objects = items.flatMap((item) => storedObjectSchema.safeParse(item).data ?? []);
      const dropped = items.length - objects.length;
      if (dropped > 0) options.logger.log('storeItemsDropped', { items: dropped });
      return { objects, revision };
    });

  return {
    close: () => caller.close(),
    onReturn: (listener) => caller.onReturn(listener),
    list: (kind) => get(`/objects/${kind}`).andThen((answer) => parseList(answer, kind)),
    read: (kind, name) =>
      get(`/objects/${kind}/${encodeURIComponent(name)}`).andThen((answer) =>
        answer.status === 404 ? ok(undefined) : parseOk(storedObjectSchema, answer, name),
      ),
    watch: (kinds, since, waitMs, signal) => {
      const path = `/watch?kinds=${kinds.join(',')}&since=${since}&waitMs=${Math.ceil(waitMs)}`;
      return get(path, waitMs, signal).andThen((answer) => parseList(answer, 'watch'));
    },
    write: (write) => {
      const invalid = checkSize(write);
      if (invalid) return errAsync(invalid);
      const send = (isRepeat: boolean): Promise<Sending<WriteOutcome>> =>
        sendWrite(caller, write, timeoutMs, isRepeat);
      return new ResultAsync(settleSending(send, options));
    },
    writeBatch: (writes) => {
      const invalid = checkBatch(writes);
      if (invalid) return errAsync(invalid);
      const send = (isRepeat: boolean): Promise<Sending<WriteOutcome[]>> =>
        sendBatch(caller, writes, timeoutMs, isRepeat);
      return new ResultAsync(settleSending(send, options));
    },
  };
}

function parseOk<Schema extends z.ZodType>(
  schema: Schema,
  answer: PlatformAnswer,
  name: string,
): Result<z.infer<Schema>, PlatformFailure> {
  return answer.status === 200 ? parseAnswer(schema, answer) : err(toFailure(answer, name));
}

function checkSize(write: PlatformWrite): PlatformFailure | undefined {
  const bytes = Buffer.byteLength(JSON.stringify(write.value ?? null));
  if (bytes <= MAX_VALUE_BYTES) return undefined;
  const reason = `the value has ${bytes} bytes, more than ${MAX_VALUE_BYTES}`;
  return createFailure('objectInvalid', { name: write.name, reason });
}

function checkBatch(writes: readonly PlatformWrite[]): PlatformFailure | undefined {
  if (writes.length === 0 || writes.length > MAX_BATCH_WRITES) {
    const reason = `${writes.length} writes instead of 1 to ${MAX_BATCH_WRITES}`;
    return createFailure('objectInvalid', { name: 'batch', reason });
  }
  for (const write of writes) {
    const invalid = checkSize(write);
    if (invalid) return invalid;
  }
  return undefined;
}

async function sendWrite(
  caller: PlatformCaller,
  write: PlatformWrite,
  timeoutMs: Milliseconds,
  isRepeat: boolean,
): Promise<Sending<WriteOutcome>> {
  const { kind, name, ...body } = write;
  const path = `/objects/${kind}/${encodeURIComponent(name)}`;
  const sent = await caller.call({ method: 'PUT', path, body: JSON.stringify(body), timeoutMs });
  if (sent.isErr()) return toSending(sent.error);
  const answer = sent.value;
  switch (answer.status) {
    case 200:
      return parseAnswer(storedObjectSchema, answer).match(
        (object) => ({ kind: 'answered', value: { kind: 'written', object } }),
        toLost,
      );
    case 409:
      return parseAnswer(conflictSchema, answer).match(
        ({ current }) => ({ kind: 'answered', value: resolveConflict(write, current, isRepeat) }),
        toLost,
      );
    default:
      return toRefusal(answer, name);
  }
}

async function sendBatch(
  caller: PlatformCaller,
  writes: readonly PlatformWrite[],
  timeoutMs: Milliseconds,
  isRepeat: boolean,
): Promise<Sending<WriteOutcome[]>> {
  const body = JSON.stringify({ writes });
  const sent = await caller.call({ method: 'POST', path: '/batch', body, timeoutMs });
  if (sent.isErr()) return toSending(sent.error);
  if (sent.value.status !== 200) return toRefusal(sent.value, 'batch');
  return parseAnswer(batchResultSchema, sent.value).match(
    ({ results }) => toBatchOutcomes(writes, results, isRepeat),
    toLost,
  );
}

function toBatchOutcomes(
  writes: readonly PlatformWrite[],
  results: BatchResult['results'],
  isRepeat: boolean,
): Sending<WriteOutcome[]> {
  const outcomes: WriteOutcome[] = [];
  for (const [index, write] of writes.entries()) {
    const result = results[index];
    if (result === undefined) return { kind: 'lost', reason: 'fewer results than writes' };
    switch (result.outcome) {
      case 'written':
        outcomes.push({ kind: 'written', object: result.object });
        break;
      case 'conflict':
        outcomes.push(resolveConflict(write, result.current, isRepeat));
        break;
      case 'invalid':
        // The others of the batch may stand, so that none may be called refused.
        return { kind: 'lost', reason: `${write.name} was refused: ${result.reason}` };
    }
  }
  return { kind: 'answered', value: outcomes };
}

function toSending(failure: { kind: 'notSent' | 'lost'; reason: string }): Sending<never> {
  if (failure.kind === 'lost') return { kind: 'lost', reason: failure.reason };
  const { reason } = failure;
  return { kind: 'refused', failure: createFailure('platformUnavailable', { reason }) };
}

/** An answer that can't be read, or of a gateway, says nothing of whether the write took effect. */
function toRefusal(answer: PlatformAnswer, name: string): Sending<never> {
  const failure = toFailure(answer, name);
  return failure.kind === 'messageInvalid' ? toLost(failure) : { kind: 'refused', failure };
}

function toLost(failure: PlatformFailure): Sending<never> {
  return { kind: 'lost', reason: failure.message };
}
