/**
 * Which chunks of a stream belong to the answer that was asked for. Pure.
 */
import type { EngineChunk } from './protocol.js';

/** What to do with one chunk. */
export type ChunkVerdict =
  { kind: 'pass' } | { kind: 'drop'; reason: ChunkDropReason } | { kind: 'broken'; reason: string };

type ChunkDropReason = 'foreign' | 'duplicate' | 'afterEnd';

/** Follows one stream. */
export interface ChunkSequence {
  judge(chunk: EngineChunk): ChunkVerdict;
  /** Offset of the token that comes next. */
  next(): number;
}

/**
 * Expects the chunks of `attempt` from the token `from` on.
 *
 * @example createChunkSequence('a-1', 0).judge({ kind: 'token', attempt: 'a-1', sequence: 0, text: 'x' })
 */
export function createChunkSequence(attempt: string, from: number): ChunkSequence {
  let next = from;
  let ended = false;
  return {
    next: () => next,
    judge: (chunk) => {
      // An engine that mixes up its streams, or one that still sends for a cancelled attempt, shows
      // text of another caller here. Each sending has an id of its own, so its chunks never match.
      if (chunk.attempt !== attempt) return { kind: 'drop', reason: 'foreign' };
      if (ended) return { kind: 'drop', reason: 'afterEnd' };
      if (chunk.kind === 'error') {
        ended = true;
        return { kind: 'pass' };
      }
      // A token that is sent again after a hiccup would double text in the answer.
      if (chunk.kind === 'token' && chunk.sequence < next) {
        return { kind: 'drop', reason: 'duplicate' };
      }
      // A lost token would leave a hole that reads like a whole answer; the offset shows it, for
      // the end mark as well, which names the number of tokens of the whole answer.
      if (chunk.sequence !== next) {
        return { kind: 'broken', reason: `expected token ${next}, got ${chunk.sequence}` };
      }
      if (chunk.kind === 'end') ended = true;
      else next += 1;
      return { kind: 'pass' };
    },
  };
}
