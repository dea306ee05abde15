/**
 * Cutting a stream of server-sent events into whole events with their ids.
 *
 * Guards against a piece that comes twice or is missing after a stream went on elsewhere. Only
 * whole events are passed on, so the caller never holds half an event; the next run begins after
 * the last id that was passed on, and what it repeats is dropped.
 */

/** What a chunk brought. */
export type StreamPart =
  /** Bytes of whole events, ready to pass on; empty when no event is complete. */
  | { kind: 'events'; bytes: Buffer; count: number }
  /** Events are missing between what was passed on and this one. */
  | { kind: 'gap' };

const LINE_FEED = 0x0a;
const ID_FIELD = /^id:[ ]?(.*)$/m;

/** The state of one answer across all its runs. Changed in place, owned by one request. */
export class EventStream {
  private rest: Buffer = Buffer.alloc(0);
  private last: number | undefined;

  /** `lastEventId` is where the caller itself asked to go on. */
  constructor(lastEventId?: string) {
    this.last = parseId(lastEventId);
  }

  /** The id of the last event that was passed on, if events have numbers for ids. */
  get lastEventId(): string | undefined {
    return this.last === undefined ? undefined : String(this.last);
  }

  /** Bytes of an event that is not complete. */
  get isMidEvent(): boolean {
    return this.rest.length > 0;
  }

  /** A new run begins: what the last one left of an event will come again. */
  startRun(): void {
    this.rest = Buffer.alloc(0);
  }

  push(chunk: Buffer): StreamPart {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const passed: Buffer[] = [];
    let start = 0;
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      const event = bytes.subarray(start, end);
      start = end;
      const verdict = this.judge(event);
      if (verdict === 'gap') return { kind: 'gap' };
      if (verdict === 'new') passed.push(event);
    }
    this.rest = bytes.subarray(start);
    const [only] = passed;
    const joined = passed.length === 1 && only ? only : Buffer.concat(passed);
    return { kind: 'events', bytes: joined, count: passed.length };
  }

  private judge(event: Buffer): 'new' | 'known' | 'gap' {
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

/** The index after the blank line that ends the event at `start`; 0 when it is not complete. */
function findEventEnd(bytes: Buffer, start: number): number {
  let index = bytes.indexOf(LINE_FEED, start);
  while (index >= 0 && index + 1 < bytes.length) {
    if (bytes[index + 1] === LINE_FEED) return index + 2;
    if (bytes[index + 1] === 0x0d && bytes[index + 2] === LINE_FEED) return index + 3;
    index = bytes.indexOf(LINE_FEED, index + 1);
  }
  return 0;
}
