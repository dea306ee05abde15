/**
 * Collects received chunks without keeping much more memory than their bytes.
 *
 * A chunk is a view of the data that it was received with. A backend server that sends a body in chunks of
 * a few bytes, each with a long extension, makes each of them an object of its own and each view keep many
 * times its own bytes.
 */

/** Sizes of the blocks that small chunks are copied to. */
const FIRST_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

/** Bytes that are collected in order. */
export class PackedBytes {
  private readonly parts: Buffer[] = [];
  /** The block that small chunks are copied to, and how much of it is used. */
  private block: Buffer | undefined;
  private used = 0;
  private bytes = 0;

  get length(): number {
    return this.bytes;
  }

  push(chunk: Buffer): void {
    this.bytes += chunk.length;
    if (2 * chunk.length >= chunk.buffer.byteLength) {
      this.closeBlock();
      this.parts.push(chunk);
      return;
    }
    for (let taken = 0; taken < chunk.length;) {
      const block = this.openBlock();
      const copied = chunk.copy(block, this.used, taken);
      taken += copied;
      this.used += copied;
    }
  }

  /** All bytes so far, followed by `end`. */
  concat(end?: Buffer): Buffer {
    const open = this.block ? [this.block.subarray(0, this.used)] : [];
    return Buffer.concat([...this.parts, ...open, ...(end ? [end] : [])]);
  }

  clear(): void {
    this.parts.length = 0;
    this.block = undefined;
    this.bytes = 0;
  }

  private openBlock(): Buffer {
    if (this.block && this.used < this.block.length) return this.block;
    const next = this.block ? 2 * this.block.length : FIRST_BLOCK_BYTES;
    this.closeBlock();
    this.block = Buffer.allocUnsafeSlow(Math.min(next, MAX_BLOCK_BYTES));
    this.used = 0;
    return this.block;
  }

  private closeBlock(): void {
    if (this.block) this.parts.push(this.block.subarray(0, this.used));
    this.block = undefined;
  }
}
