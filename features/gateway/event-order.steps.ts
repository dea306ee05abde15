/**
 * Streams whose first run goes wrong at one event, delivered in chunks and resumed by a sound run.
 */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { EventStream, MAX_BYTES_WITHOUT_EVENT } from '../../src/controllers/forwarding/index.js';

interface OrderWorld {
  deliveries: { what: string; delivered: string; expected: string }[];
}

interface Delivery {
  text: string;
  /** Whether the gateway takes the run for whole if its response ends here. */
  isWhole: boolean;
}

/** Pushes chunks until one can't be used. */
function deliver(stream: EventStream, chunks: readonly string[]): Delivery {
  let text = '';
  for (const chunk of chunks) {
    const part = stream.push(Buffer.from(chunk));
    text += part.bytes.toString();
    if (part.fault !== undefined) return { text, isWhole: false };
  }
  return { text, isWhole: !stream.hasPartialEvent };
}

function renderEvents(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: t${index}\n\n`);
}

function group(events: readonly string[], size: number): string[] {
  const chunks: string[] = [];
  for (let start = 0; start < events.length; start += size)
    chunks.push(events.slice(start, start + size).join(''));
  return chunks;
}

/** Replaces the events from index `first` to index `last` one at a time, at each size of chunks. */
function runAll(
  world: OrderWorld,
  { count, maxSize }: { count: number; maxSize: number },
  [first, last]: readonly [number, number],
  replace: (event: string) => string,
): void {
  const events = renderEvents(count);
  world.deliveries = [];
  for (let wrong = first; wrong <= last; wrong += 1) {
    for (let size = 1; size <= maxSize; size += 1) {
      const faulty = events.map((event, index) => (index === wrong ? replace(event) : event));
      const stream = new EventStream();
      const run = deliver(stream, group(faulty, size));
      let delivered = run.text;
      if (!run.isWhole) {
        stream.startRun();
        delivered += deliver(stream, events.slice(Number(stream.lastEventId ?? 0))).text;
      }
      const what = `event ${wrong + 1}, ${size} in a chunk`;
      world.deliveries.push({ what, delivered, expected: events.join('') });
    }
  }
}

When(
  'each event but the first and the last of {int} is left out once, in chunks of 1 to {int} events',
  function (this: OrderWorld, count: number, maxSize: number) {
    runAll(this, { count, maxSize }, [1, count - 2], () => '');
  },
);

When(
  'each event of {int} is once replaced by bytes that are no event, in chunks of 1 to {int} events',
  function (this: OrderWorld, count: number, maxSize: number) {
    runAll(this, { count, maxSize }, [0, count - 1], (event) => `${'#'.repeat(event.length)}\n\n`);
  },
);

When(
  'each event of {int} is followed once by bytes without end, in chunks of 1 to {int} events',
  function (this: OrderWorld, count: number, maxSize: number) {
    const endless = 'x'.repeat(MAX_BYTES_WITHOUT_EVENT + 1);
    runAll(this, { count, maxSize }, [0, count - 1], (event) => `${event}${endless}`);
  },
);

Then('each stream is delivered whole after a sound run', function (this: OrderWorld) {
  assert.ok(this.deliveries.length > 0);
  for (const { what, delivered, expected } of this.deliveries)
    assert.equal(delivered, expected, what);
});
