/**
 * Large bodies whose every byte can be checked.
 */

const PART_BYTES = 65_536;
const PATTERN = 251;

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
      controller.enqueue(Uint8Array.from({ length }, (_, index) => (start + index) % PATTERN));
    },
  });
}
