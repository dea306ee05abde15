/**
 * One way of one connection: bytes wait here for delay, bandwidth and release.
 */
import type { Socket } from 'node:net';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Breaker, LinkWay } from './link.js';
import { resetSocket } from './reset-socket.js';

/** What happened on the way that concerns the whole connection. */
interface PipeEvents {
  /** Bytes or an end were swallowed: what comes later may not be delivered any more. */
  onLost(): void;
  /** The breaker's count was reached. */
  onBreak(): void;
}

interface Pipe {
  /** Keeps bytes back until `release`. */
  hold(): void;
  release(): void;
  /** Delivers what an outage has kept back. */
  resume(): void;
  close(): void;
}

/** How the sender ended: its half, the connection, or the connection by a reset. */
type Ending = 'end' | 'close' | 'reset';

interface WaitingBytes {
  bytes: Buffer;
  dueAt: Milliseconds;
}

/** Beyond this many waiting bytes the source is paused. */
const MAX_WAITING_BYTES = 1_048_576;
/** A bounded bandwidth delivers in steps of about this many milliseconds. */
const STEP_MS = 20;
const SECOND_MS = 1_000;

/** Carries what `from` sends to `to` until either is closed. */
export function createPipe(from: Socket, to: Socket, way: LinkWay, events: PipeEvents): Pipe {
  const waiting: WaitingBytes[] = [];
  let waitingBytes = 0;
  let ending: Ending | undefined;
  let isHeld = false;
  let isClosed = false;
  let isBlocked = false;
  let timer: NodeJS.Timeout | undefined;
  let counted: Breaker | undefined;
  let countedBytes = 0;

  /** How many more bytes may pass before the connection breaks. */
  const bytesBeforeBreak = (): number => {
    const { breaker } = way;
    if (breaker !== counted) countedBytes = 0;
    counted = breaker;
    return breaker === undefined ? Number.POSITIVE_INFINITY : breaker.afterBytes - countedBytes;
  };

  const breakConnection = (): void => {
    const { breaker } = way;
    if (breaker !== undefined) breaker.timesLeft -= 1;
    if (breaker?.timesLeft === 0) way.breaker = undefined;
    events.onBreak();
  };

  const swallow = (): void => {
    way.swallowedBytes += waitingBytes;
    waiting.length = 0;
    waitingBytes = 0;
    from.resume();
    events.onLost();
  };

  const deliver = (head: WaitingBytes, now: Milliseconds): void => {
    const step = Math.max(1, Math.floor((way.bytesPerSecond * STEP_MS) / SECOND_MS));
    const part = head.bytes.subarray(0, Math.min(step, bytesBeforeBreak()));
    head.bytes = head.bytes.subarray(part.length);
    if (head.bytes.length === 0) waiting.shift();
    waitingBytes -= part.length;
    countedBytes += part.length;
    way.deliveredBytes += part.length;
    way.freeAt = Math.max(way.freeAt, now) + (part.length / way.bytesPerSecond) * SECOND_MS;
    isBlocked = !to.write(part);
    if (waitingBytes < MAX_WAITING_BYTES) from.resume();
  };

  /** A sender that resets its connection no longer repeats what was not delivered. */
  const discardAfterReset = (): void => {
    if (ending !== 'reset') return;
    waiting.length = 0;
    waitingBytes = 0;
  };

  const pump = (): void => {
    if (way.isOut) {
      discardAfterReset();
      return;
    }
    while (!isClosed && !isHeld && !isBlocked && timer === undefined) {
      const head = waiting[0];
      if (way.cut && (head !== undefined || ending !== undefined)) {
        swallow();
        return;
      }
      if (head === undefined) {
        if (ending !== undefined) passEnding(to, ending);
        return;
      }
      const now = performance.now();
      const waitMs = Math.max(head.dueAt, way.freeAt) - now;
      if (waitMs > 0) {
        timer = setTimeout(resume, waitMs);
        return;
      }
      if (bytesBeforeBreak() <= 0) {
        breakConnection();
        return;
      }
      deliver(head, now);
    }
  };

  const resume = (): void => {
    timer = undefined;
    pump();
  };

  from.on('data', (bytes: Buffer) => {
    waiting.push({ bytes, dueAt: performance.now() + way.delayMs });
    waitingBytes += bytes.length;
    if (waitingBytes >= MAX_WAITING_BYTES) from.pause();
    pump();
  });
  from.on('end', () => {
    ending = 'end';
    pump();
  });
  // What was sent before the end is still under way: it arrives first, however long that takes.
  from.on('close', () => {
    ending = from.errored === null ? 'close' : 'reset';
    pump();
  });
  to.on('drain', () => {
    isBlocked = false;
    pump();
  });

  return {
    hold: () => {
      isHeld = true;
    },
    release: () => {
      isHeld = false;
      pump();
    },
    resume: pump,
    close: () => {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}

function passEnding(to: Socket, ending: Ending): void {
  switch (ending) {
    case 'end':
      to.end();
      return;
    case 'close':
      to.destroySoon();
      return;
    case 'reset':
      resetSocket(to);
      return;
  }
}
