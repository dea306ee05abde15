/**
 * The open streams of one engine: each is written to token by token and ends exactly once.
 */
import type { ServerResponse } from 'node:http';
import type { Answer } from './answers.js';
import type { CompletionFault } from './control.js';
import { deliverEnd, deliverToken, type Delivery } from './delivery.js';
import type { AttemptEndReason, JournaledAttempt } from './journal.js';
import type { EmittedToken } from './scheduler.js';

/** One completion that was accepted and has not ended. */
export interface Stream {
  attempt: string;
  resumeFrom: number;
  fault: CompletionFault | undefined;
  answer: Answer;
  promptTokens: number;
  cachedTokens: number;
  response: ServerResponse;
  entry: JournaledAttempt;
}

/** The streams by their attempt. */
interface Streams {
  add(stream: Stream): void;
  has(attempt: string): boolean;
  emit(token: EmittedToken): void;
  /** Sends the end mark. */
  finish(attempt: string): void;
  /** Breaks the connection. */
  drop(attempt: string, reason: AttemptEndReason): void;
  dropAll(reason: AttemptEndReason): void;
  count(): number;
}

/** An engine lets go of a caller that reads so far behind. */
const MAX_UNREAD_BYTES = 1_048_576;

/** Streams that tell `onEnd` of each that ended, for whatever reason. */
export function createStreams(onEnd: (attempt: string) => void): Streams {
  const open = new Map<string, Stream>();

  const end = (stream: Stream, reason: AttemptEndReason): void => {
    open.delete(stream.attempt);
    stream.entry.end = reason;
    stream.entry.endedAt = Date.now();
    onEnd(stream.attempt);
  };
  const breakOff = (stream: Stream, reason: AttemptEndReason): void => {
    end(stream, reason);
    stream.response.destroy();
  };
  const perform = (stream: Stream, delivery: Delivery): void => {
    switch (delivery.kind) {
      case 'nothing':
        return;
      case 'write':
        stream.response.write(delivery.data);
        if (stream.response.writableLength > MAX_UNREAD_BYTES) breakOff(stream, 'disconnected');
        return;
      case 'writeAndClose':
        end(stream, stream.answer.reason);
        stream.response.end(delivery.data);
        return;
      case 'close':
        end(stream, 'fault');
        stream.response.end();
        return;
      case 'cut':
        breakOff(stream, 'fault');
        return;
    }
  };
  const finish = (attempt: string): void => {
    const stream = open.get(attempt);
    if (stream) perform(stream, deliverEnd(stream, describeEnd(stream)));
  };

  return {
    add: (stream) => {
      open.set(stream.attempt, stream);
      // A caller that closes its connection frees its place in the batch at once.
      stream.response.once('close', () => {
        if (open.get(stream.attempt) === stream) end(stream, 'disconnected');
      });
    },
    has: (attempt) => open.has(attempt),
    emit: ({ id, emitted, last }) => {
      const stream = open.get(id);
      if (!stream) return;
      const offset = emitted - 1;
      stream.entry.firstTokenAt ??= Date.now();
      stream.entry.tokens = emitted;
      const text = stream.answer.tokens[stream.resumeFrom + offset] ?? '';
      perform(stream, deliverToken(stream, offset, text));
      if (last) finish(id);
    },
    finish,
    drop: (attempt, reason) => {
      const stream = open.get(attempt);
      if (stream) breakOff(stream, reason);
    },
    dropAll: (reason) => {
      for (const stream of [...open.values()]) breakOff(stream, reason);
    },
    count: () => open.size,
  };
}

function describeEnd(stream: Stream): Parameters<typeof deliverEnd>[1] {
  const { attempt, answer, promptTokens, cachedTokens } = stream;
  const sequence = answer.tokens.length;
  return { kind: 'end', attempt, sequence, reason: answer.reason, promptTokens, cachedTokens };
}
