/**
 * Names for the starts of prompts, so that entries and engines agree on what is cached where.
 *
 * The prompt's text is cut into blocks of {@link BLOCK_TOKENS} tokens. Each block's hash covers the
 * hash before it, so that one hash names the whole prompt up to that block. SHA-256 is used because
 * a hash also addresses exported KV cache: a collision would hand one prompt another one's state.
 */
import { createHash } from 'node:crypto';
import type { Message } from '../../adapters/engines/protocol.js';
import type { Prefix } from './types.js';

/** Tokens in one block of a prompt. */
export const BLOCK_TOKENS = 64;
/** Characters taken for one token where no tokenizer is at hand. */
export const CHARACTERS_PER_TOKEN = 4;
/** Blocks that are hashed at most; a longer prompt is named by its start. */
export const MAX_BLOCKS = 64;

const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
const HASH_LENGTH = 32;

/**
 * The full blocks at the start of a prompt, shortest prefix first.
 *
 * @example hashPrefixes([{ role: 'user', content: 'x'.repeat(300) }]).length // 1
 */
export function hashPrefixes(messages: readonly Message[]): Prefix[] {
  const text = joinMessages(messages, MAX_BLOCKS * BLOCK_CHARACTERS);
  const blocks = Math.min(MAX_BLOCKS, Math.floor(text.length / BLOCK_CHARACTERS));
  const prefixes: Prefix[] = [];
  let hash = '';
  for (let block = 0; block < blocks; block += 1) {
    const start = block * BLOCK_CHARACTERS;
    hash = hashBlock(hash, text.slice(start, start + BLOCK_CHARACTERS));
    prefixes.push({ hash, tokens: (block + 1) * BLOCK_TOKENS });
  }
  return prefixes;
}

/**
 * Tokens of a prompt, estimated from its length.
 *
 * @example estimateTokens([{ role: 'user', content: 'How many tokens?' }]) // 6
 */
export function estimateTokens(messages: readonly Message[]): number {
  let characters = 0;
  for (const message of messages) characters += message.role.length + message.content.length + 2;
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}

/** The text that blocks are cut from, up to `limit` characters. */
function joinMessages(messages: readonly Message[], limit: number): string {
  let text = '';
  for (const message of messages) {
    if (text.length >= limit) break;
    text += `${message.role}:${message.content}\n`;
  }
  return text.slice(0, limit);
}

function hashBlock(previous: string, block: string): string {
  return createHash('sha256').update(previous).update(block).digest('hex').slice(0, HASH_LENGTH);
}
