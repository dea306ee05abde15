/**
 * The body of a response that is sent once it is complete.
 */
import type { ServerResponse } from 'node:http';
import { PackedBytes } from '../packed-bytes/index.js';
import type { AnswerBudget } from './answer-budget.js';

/** Collects a body within `budget`, until `response` is closed. */
export class HeldBody {
  private readonly bytes = new PackedBytes();
  private isReleased: boolean;

  constructor(
    response: ServerResponse,
    private readonly budget: AnswerBudget,
  ) {
    this.isReleased = response.destroyed;
    // The caller may read slowly, so the memory is still in use after the body was passed on.
    response.once('close', () => {
      this.release();
    });
  }

  /** Returns false, without adding the bytes, if nobody waits for them, the body is too long or memory is short. */
  add(bytes: Buffer): boolean {
    if (this.isReleased || !this.budget.take(bytes.length, this.bytes.length)) return false;
    this.bytes.push(bytes);
    return true;
  }

  /** All bytes that were added. */
  concat(): Buffer {
    return this.bytes.concat();
  }

  private release(): void {
    this.isReleased = true;
    this.budget.release(this.bytes.length);
    this.bytes.clear();
  }
}
