/**
 * Splits a stream of server-sent events into complete events and tracks their ids.
 *
 * Prevents duplicate and missing events when a stream is resumed on another backend server. Only
 * complete events are forwarded, so the caller never has a partial event. The next run resumes after
 * the last forwarded id, and events that it repeats are dropped.
 */

/** The result of processing one chunk. */
export type StreamPart =
  /** Bytes of complete events, ready to forward; empty when no event is complete. */
  | { kind: 'events'; bytes: Buffer; count: number }
  /** Events are missing between the last forwarded one and this one. */
  | { kind: 'gap' };

const LINE_FEED = 0x0a;
const ID_FIELD = /^id:[ ]?(.*)$/m;

/** The state of one response across all its runs. Mutable; owned by one request. */
export class EventStream {
  private partialEvent: Buffer = Buffer.alloc(0);
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
    return this.partialEvent.length > 0;
  }

  /** Starts a new run and discards the partial event of the last one, which is sent again. */
  startRun(): void {
    this.partialEvent = Buffer.alloc(0);
  }

  /** Appends a chunk and returns the new complete events. */
  push(chunk: Buffer): StreamPart {
    const bytes =
      this.partialEvent.length === 0 ? chunk : Buffer.concat([this.partialEvent, chunk]);
    const newEvents: Buffer[] = [];
    let start = 0;
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      const event = bytes.subarray(start, end);
      start = end;
      const classification = this.classify(event);
      if (classification === 'gap') return { kind: 'gap' };
      if (classification === 'new') newEvents.push(event);
    }
    this.partialEvent = bytes.subarray(start);
    const [first] = newEvents;
    const joined = newEvents.length === 1 && first ? first : Buffer.concat(newEvents);
    return { kind: 'events', bytes: joined, count: newEvents.length };
  }

  private classify(event: Buffer): 'new' | 'known' | 'gap' {
    const id = parseId(ID_FIELD.exec(event.toString('latin1'))?.[1]);
    if (id === undefined) return 'new';
    const { last } = this;
    if (last !== undefined && id <= last) return 'known';
    if (last !== undefined && id > last + 1) return 'gap';
    this.last = id;
    return 'new';
  }
}

function parseId(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const id = Number(text.trim());
  return Number.isInteger(id) && text.trim() !== '' ? id : undefined;
}

/** Returns the index after the blank line that ends the event at `start`; 0 when incomplete. */
function findEventEnd(bytes: Buffer, start: number): number {
  let index = bytes.indexOf(LINE_FEED, start);
  while (index >= 0 && index + 1 < bytes.length) {
    if (bytes[index + 1] === LINE_FEED) return index + 2;
    if (bytes[index + 1] === 0x0d && bytes[index + 2] === LINE_FEED) return index + 3;
    index = bytes.indexOf(LINE_FEED, index + 1);
  }
  return 0;
}
