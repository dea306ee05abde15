/**
 * Events in order of manual time.
 */
interface TimelineEvent {
  at: number;
  order: number;
  run: () => void;
}

/** A queue of events; `run` moves time from one to the next. */
export class Timeline {
  now = 0;
  private order = 0;
  private readonly heap: TimelineEvent[] = [];

  after(span: number, run: () => void): void {
    this.at(this.now + Math.max(0, span), run);
  }

  at(at: number, run: () => void): void {
    this.heap.push({ at, order: this.order++, run });
    this.siftUp(this.heap.length - 1);
  }

  run(until: number): void {
    for (let event = this.pop(until); event; event = this.pop(until)) {
      this.now = event.at;
      event.run();
    }
  }

  private pop(until: number): TimelineEvent | undefined {
    const first = this.heap[0];
    if (!first || first.at > until) return undefined;
    const last = this.heap.pop();
    if (last && this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown();
    }
    return first;
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      let least = index;
      if (left < this.heap.length && this.isBefore(left, least)) least = left;
      if (left + 1 < this.heap.length && this.isBefore(left + 1, least)) least = left + 1;
      if (least === index) return;
      this.swap(index, least);
      index = least;
    }
  }

  private isBefore(one: number, other: number): boolean {
    const a = this.heap[one];
    const b = this.heap[other];
    if (!a || !b) return false;
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private swap(one: number, other: number): void {
    const kept = this.heap[one];
    const moved = this.heap[other];
    if (!kept || !moved) return;
    this.heap[one] = moved;
    this.heap[other] = kept;
  }
}
