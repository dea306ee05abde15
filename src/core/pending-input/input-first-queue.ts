/**
 * A queue of work that begins only after the input that has arrived was read.
 *
 * Timers run before input is read, and the events of one poll come in the order in which they became ready. A
 * process that was held up, or that has much to do, would otherwise send for callers whose connections have
 * ended meanwhile.
 */
import type { Milliseconds } from '../clock/index.js';

/** The event loop, as the queue needs it. */
export interface EventLoop {
  now(): Milliseconds;
  /** Calls back after input was read once more. */
  onNextTurn(callback: () => void): void;
}

/** Longest time for which work begins before input is read again. */
const SLICE_MS: Milliseconds = 10;
/** Much may have arrived while input was read for longer, so it is read once more. */
const LONG_READING_MS: Milliseconds = 100;

/** Begins work in the order in which it was added, in slices between which input is read. */
export class InputFirstQueue {
  private added: (() => void)[] = [];
  /** Added before input was last read. */
  private readOnce: (() => void)[] = [];
  private readonly ready: (() => void)[] = [];
  private isScheduled = false;
  /** Input was read again because reading had taken long. */
  private isReadAgain = false;
  private readingFrom: Milliseconds;
  private readUntil: Milliseconds;
  private sliceEndsAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly loop: EventLoop) {
    this.readingFrom = loop.now();
    this.readUntil = this.readingFrom;
  }

  /**
   * Adds work that begins once all that had arrived was read. The data and the end of one connection are
   * read in two turns of the event loop.
   */
  add(work: () => void): void {
    this.added.push(work);
    this.schedule();
  }

  /** Whether input has to be read before more is begun; work that is a series of its own asks in between. */
  get isSliceOver(): boolean {
    return this.loop.now() >= this.sliceEndsAt;
  }

  /** For how long input may have been waiting to be read, as seen by work that is begun here. */
  get unreadMs(): Milliseconds {
    return this.loop.now() - this.readUntil;
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.loop.onNextTurn(() => {
      this.isScheduled = false;
      this.runSlice();
    });
  }

  private runSlice(): void {
    this.readUntil = this.readingFrom;
    this.ready.push(...this.readOnce);
    this.readOnce = this.added;
    this.added = [];
    const hasReadLong = this.ready.length > 0 && this.unreadMs > LONG_READING_MS;
    this.isReadAgain = hasReadLong && !this.isReadAgain;
    try {
      if (!this.isReadAgain) this.beginWork();
    } finally {
      this.readingFrom = this.loop.now();
      if (this.ready.length + this.readOnce.length + this.added.length > 0) this.schedule();
    }
  }

  private beginWork(): void {
    this.sliceEndsAt = this.loop.now() + SLICE_MS;
    for (let work = this.ready.shift(); work; work = this.ready.shift()) {
      work();
      if (this.isSliceOver) return;
    }
  }
}
