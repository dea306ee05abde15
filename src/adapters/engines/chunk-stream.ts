/**
 * The body of a completion as chunks that are safe to pass on.
 *
 * What comes out is always a run of tokens without holes, closed by exactly one `end` or `error`:
 * a stream that breaks off, goes silent or sends what cannot be read ends in an `error`.
 */
import { StringDecoder } from 'node:string_decoder';
import { createParser, type EventSourceParser } from 'eventsource-parser';
import type { Dispatcher } from 'undici';
import type { BufferedBytesTracker } from '../../core/buffered-bytes/index.js';
import { createChunkSequence, type ChunkSequence } from './chunk-sequence.js';
import { parseChunk } from './parse-chunk.js';
import type { EngineChunk, EngineRequest } from './protocol.js';

type Body = Dispatcher.ResponseData['body'];

/** What is left of a body after the end mark is read to keep the connection, up to so many bytes. */
const REST_BYTES = 16_384;

/**
 * Most bytes without a chunk that is passed on. An engine may repeat tokens from before the offset, and send
 * comments that keep the connection in use, which is far less.
 */
const MAX_IDLE_BYTES = 1_048_576;

/** Longest wait for the rest of a body. */
const REST_MS = 1_000;

/** A stream being read. */
interface Reading {
  request: EngineRequest;
  sequence: ChunkSequence;
  parser: EventSourceParser;
  decoder: StringDecoder;
  /** Parsed and not yet passed on. */
  ready: EngineChunk[];
  /** Of the part of the body whose chunks are being passed on. */
  partBytes: number;
  /** Came since the last chunk that is passed on. */
  idleBytes: number;
  ended: boolean;
  /** Everything that came belonged here; otherwise the connection is not used again. */
  clean: boolean;
}

/**
 * Reads `body` until its end mark. Leaving the loop early closes the connection. What waits here
 * while the chunks before it are not taken is counted in `unread`.
 */
export async function* readChunks(
  body: Body,
  request: EngineRequest,
  maxEventBytes: number,
  unread: BufferedBytesTracker,
): AsyncGenerator<EngineChunk, void, undefined> {
  const reading = startReading(request, maxEventBytes);
  const release = unread.track(() => body.readableLength + reading.partBytes);
  // A body that is destroyed reports it as an error, also when nobody reads it any more.
  body.on('error', () => undefined);
  try {
    for await (const bytes of body.iterator({ destroyOnReturn: false })) {
      feed(reading, bytes as Buffer);
      yield* reading.ready.splice(0);
      reading.partBytes = 0;
      if (reading.ended) return;
    }
    // An engine that dies before its end mark may still close its connection in good order; the
    // answer then looks whole by HTTP's measure. Only the end mark makes it so.
    yield breakOff(reading, 'the stream ended without an end mark');
  } catch (error) {
    yield breakOff(reading, describeError(error));
  } finally {
    release();
    settleBody(body, reading);
  }
}

/** The message of whatever was thrown. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const { code } = error as { code?: unknown };
  return typeof code === 'string' ? `${code}: ${error.message}` : error.message;
}

function startReading(request: EngineRequest, maxEventBytes: number): Reading {
  const reading: Reading = {
    request,
    sequence: createChunkSequence(request.attempt, request.resumeFrom),
    parser: createParser({
      onEvent: ({ data }) => {
        takeEvent(reading, data, maxEventBytes);
      },
      // An engine gone wrong may send a line without end, which would fill the memory.
      maxBufferSize: maxEventBytes,
      onError: ({ type, message }) => {
        if (type === 'max-buffer-size-exceeded') reading.ready.push(breakOff(reading, message));
      },
    }),
    decoder: new StringDecoder('utf8'),
    ready: [],
    partBytes: 0,
    idleBytes: 0,
    ended: false,
    clean: true,
  };
  return reading;
}

function feed(reading: Reading, bytes: Buffer): void {
  reading.partBytes = bytes.length;
  reading.idleBytes += bytes.length;
  reading.parser.feed(reading.decoder.write(bytes));
  if (reading.ready.length > 0) reading.idleBytes = 0;
  // Without it comments without end would keep the caller waiting, since the stream is not silent.
  if (reading.idleBytes > MAX_IDLE_BYTES && !reading.ended) {
    const reason = `the engine sent ${reading.idleBytes} bytes without a chunk of the answer`;
    reading.ready.push(breakOff(reading, reason));
  }
}

function takeEvent(reading: Reading, data: string, maxEventBytes: number): void {
  if (reading.ended) return;
  const chunk = data.length > maxEventBytes ? undefined : parseChunk(data);
  if (!chunk) {
    reading.ready.push(breakOff(reading, 'the engine sent an event that is not a chunk'));
    return;
  }
  const verdict = reading.sequence.judge(chunk);
  switch (verdict.kind) {
    case 'pass':
      reading.ready.push(chunk);
      if (chunk.kind !== 'token') reading.ended = true;
      return;
    case 'drop':
      if (verdict.reason === 'foreign') reading.clean = false;
      return;
    case 'broken':
      reading.ready.push(breakOff(reading, verdict.reason));
      return;
  }
}

function breakOff(reading: Reading, reason: string): EngineChunk {
  reading.ended = true;
  reading.clean = false;
  return {
    kind: 'error',
    attempt: reading.request.attempt,
    sequence: reading.sequence.next(),
    reason,
  };
}

/** Reads the little that may follow the end mark, so that the connection can be used again. */
function settleBody(body: Body, reading: Reading): void {
  if (!reading.ended || !reading.clean) {
    body.destroy();
    return;
  }
  const signal = AbortSignal.timeout(REST_MS);
  body.dump({ limit: REST_BYTES, signal }).catch(() => undefined);
}
