/**
 * Splits a stream of server-sent events into complete events and tracks their ids.
 *
 * Prevents duplicate and missing events when a stream is resumed on another backend server. Only
 * complete events are forwarded, so the caller never has a partial event. The next run resumes after
 * the last forwarded id, and events that it repeats are dropped.
 *
 * Each byte is looked at once, and only a bounded number of bytes may come without a new event: a server
 * may send comments, or an event, without end.
 */
import { PackedBytes } from '../../core/packed-bytes/index.js';

/** The result of processing one chunk. */
export interface StreamPart {
  /** Bytes of complete blocks, to be forwarded also if a fault follows; empty when none is complete. */
  bytes: Buffer;
  /** New events among them; blocks without data, such as comments, are none. */
  count: number;
  /** Why nothing that follows the bytes can be used. */
  fault: StreamFault | undefined;
}

export type StreamFault =
  /** A block is neither an event nor a comment. */
  | 'garbled'
  /** Events are missing between the last one and the next. */
  | 'gap'
  /** More bytes have come without a new event than any event has. */
  | 'endless';

/** Most bytes without a new event; an event holds a few tokens. */
export const MAX_BYTES_WITHOUT_EVENT = 262_144;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id:[ ]?(.*)$/m;
const DATA_FIELD = /^data(?::|$)/m;
/** A comment, a field with a value, or a field that may have none. */
const KNOWN_LINE = /^(?::|[A-Za-z][\w-]*:|(?:data|event|id|retry)$|$)/;

/** The state of one response across all its runs. Mutable; owned by one request. */
export class EventStream {
  /** What has come of the block that is not complete yet. */
  private readonly partial = new PackedBytes();
  /** Whether the block has a complete line. */
  private hasLine = false;
  /** Bytes of the line that is not complete yet, and its first one. */
  private lineBytes = 0;
  private firstOfLine = 0;
  private bytesWithoutEvent = 0;
  private last: number | undefined;

  /** `lastEventId` is the id after which the caller asked to resume. */
  constructor(lastEventId?: string) {
    this.last = parseId(lastEventId);
  }

  /** The id of the last forwarded event; undefined unless events have integer ids. */
  get lastEventId(): string | undefined {
    return this.last === undefined ? undefined : String(this.last);
  }

  /** Whether part of an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.partial.length > 0;
  }

  /** Starts a new run and discards the partial event of the last one, which is sent again. */
  startRun(): void {
    this.clearBlock();
    this.bytesWithoutEvent = 0;
  }

  /** Appends a chunk and returns the new complete events. */
  push(chunk: Buffer): StreamPart {
    const blocks: Buffer[] = [];
    let count = 0;
    let start = 0;
    let fault: StreamFault | undefined;
    while (fault === undefined) {
      const end = this.findBlockEnd(chunk, start);
      if (end === 0) break;
      const block = this.completeBlock(chunk.subarray(start, end));
      start = end;
      if (this.bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT) {
        fault = 'endless';
        break;
      }
      const classification = classifyBlock(block, this.last);
      switch (classification.kind) {
        case 'gap':
        case 'garbled':
          fault = classification.kind;
          break;
        case 'known':
          break;
        case 'comment':
          blocks.push(block);
          break;
        case 'new':
          this.last = classification.id ?? this.last;
          this.bytesWithoutEvent = 0;
          count += 1;
          blocks.push(block);
          break;
      }
    }
    fault ??= this.keepRest(chunk.subarray(start));
    const [first] = blocks;
    const bytes = blocks.length === 1 && first ? first : Buffer.concat(blocks);
    return { bytes, count, fault };
  }

  private keepRest(rest: Buffer): 'endless' | undefined {
    if (rest.length > 0) this.partial.push(rest);
    const isEndless = this.bytesWithoutEvent + this.partial.length > MAX_BYTES_WITHOUT_EVENT;
    return isEndless ? 'endless' : undefined;
  }

  /** Returns the index after the blank line that ends the current block; 0 when it is incomplete. */
  private findBlockEnd(chunk: Buffer, start: number): number {
    let from = start;
    for (
      let index = chunk.indexOf(LINE_FEED, from);
      index >= 0;
      index = chunk.indexOf(LINE_FEED, from)
    ) {
      this.addToLine(chunk, from, index);
      const isBlank =
        this.lineBytes === 0 || (this.lineBytes === 1 && this.firstOfLine === CARRIAGE_RETURN);
      const isEnd = isBlank && this.hasLine;
      this.hasLine = !isEnd;
      this.lineBytes = 0;
      from = index + 1;
      if (isEnd) return from;
    }
    this.addToLine(chunk, from, chunk.length);
    return 0;
  }

  private addToLine(chunk: Buffer, from: number, to: number): void {
    if (to === from) return;
    if (this.lineBytes === 0) this.firstOfLine = chunk[from] ?? 0;
    this.lineBytes += to - from;
  }

  /** The whole block whose last bytes are `end`. */
  private completeBlock(end: Buffer): Buffer {
    const block = this.partial.length === 0 ? end : this.partial.concat(end);
    this.bytesWithoutEvent += block.length;
    this.partial.clear();
    return block;
  }

  private clearBlock(): void {
    this.partial.clear();
    this.hasLine = false;
    this.lineBytes = 0;
  }
}

type BlockClass =
  | { kind: 'new'; id: number | undefined }
  /** Has been forwarded before. */
  | { kind: 'known' }
  | { kind: 'gap' }
  | { kind: 'garbled' }
  /** Has no data. */
  | { kind: 'comment' };

function classifyBlock(block: Buffer, last: number | undefined): BlockClass {
  const text = block.toString('latin1');
  const id = parseId(ID_FIELD.exec(text)?.[1]);
  if (id === undefined) {
    if (DATA_FIELD.test(text)) return { kind: 'new', id };
    const isComment = text.split(/\r?\n/).every((line) => KNOWN_LINE.test(line));
    return { kind: isComment ? 'comment' : 'garbled' };
  }
  if (last !== undefined && id <= last) return { kind: 'known' };
  if (last !== undefined && id > last + 1) return { kind: 'gap' };
  return { kind: 'new', id };
}

function parseId(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const id = Number(text.trim());
  return Number.isInteger(id) && text.trim() !== '' ? id : undefined;
}
