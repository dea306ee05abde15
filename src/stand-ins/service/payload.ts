/**
 * Large bodies whose every byte can be checked.
 */

const PART_BYTES = 65_536;
const PATTERN = 251;
/** The pattern from each offset in it on, to be copied from: made byte by byte, bodies come slowly. */
const REPEATED = Uint8Array.from({ length: PART_BYTES + PATTERN }, (_, index) => index % PATTERN);

/** `bytes` bytes; the one at offset N is N modulo 251. Made as they are read. */
export function streamBytes(bytes: number): ReadableStream<Uint8Array> {
  let offset = 0;
  return new ReadableStream({
    pull: (controller) => {
      if (offset >= bytes) {
        controller.close();
        return;
      }
      const start = offset;
      const length = Math.min(PART_BYTES, bytes - start);
      offset += length;
      const from = start % PATTERN;
      controller.enqueue(REPEATED.slice(from, from + length));
    },
  });
}
