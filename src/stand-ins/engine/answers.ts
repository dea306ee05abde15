/**
 * The answers of the engine stand-ins: a fixed text for each seed and list of messages, so that a
 * test can say byte for byte what a caller should have received.
 */
import { createHash } from 'node:crypto';
import type { Message } from '../../adapters/engines/index.js';

/** What decides an answer. */
interface AnswerQuestion {
  messages: readonly Message[];
  seed: number;
  maxTokens: number;
}

/** A whole answer; `text` is the tokens one after the other. */
export interface Answer {
  tokens: readonly string[];
  text: string;
  reason: 'stop' | 'length';
}

const MIN_TOKENS = 8;
const TOKEN_SPREAD = 120;
/** Whoever asks for so many tokens gets them all, for tests of long streams. */
const LONG_ANSWER_TOKENS = 10_000;
const WORDS = [
  ...['pass ', 'gate ', 'slot ', 'crew ', 'site ', 'lorry ', 'ticket ', 'check '],
  ...['valid ', 'until ', 'today ', 'zone ', 'green ', 'waste ', 'brief ', 'record '],
  ...['nilai ', 'pagi ', 'kebun ', 'kompos ', 'é ', '堆肥 ', 'ok. ', 'yes, '],
] as const;

/**
 * The answer that every engine stand-in gives.
 *
 * @example expectedAnswer({ messages: [{ role: 'user', content: 'hi' }], seed: 1, maxTokens: 20 }).text
 */
export function expectedAnswer(question: AnswerQuestion): Answer {
  const base = hashQuestion(question);
  const isLong = question.maxTokens >= LONG_ANSWER_TOKENS;
  const natural = isLong ? question.maxTokens : MIN_TOKENS + (base % TOKEN_SPREAD);
  const length = Math.min(natural, question.maxTokens);
  const tokens = Array.from({ length }, (_, index) => chooseWord(base, index));
  return { tokens, text: tokens.join(''), reason: length < natural ? 'length' : 'stop' };
}

function hashQuestion({ messages, seed }: AnswerQuestion): number {
  const hash = createHash('sha256').update(String(seed));
  for (const { role, content } of messages) hash.update(`\0${role}\0${content}`);
  return hash.digest().readUInt32LE(0);
}

function chooseWord(base: number, index: number): string {
  const mixed = Math.imul(base ^ Math.imul(index + 1, 0x9e3779b1), 0x85ebca6b) >>> 8;
  return WORDS[mixed % WORDS.length] ?? WORDS[0];
}
