/**
 * Hashes of prompt prefixes, by which entries and engines identify cached prefixes.
 *
 * The prompt is split into blocks of {@link BLOCK_TOKENS} tokens. Each hash covers the previous
 * hash and one block, so it identifies the whole prompt up to the end of that block. The hash must
 * be collision-resistant (SHA-256) because it also addresses exported KV cache: with a collision, a
 * prompt would be continued from the state of another one.
 */
import { createHash } from 'node:crypto';
import type { Message } from '../../adapters/engines/protocol.js';
import type { Prefix } from './types.js';

/** Tokens per block. */
export const BLOCK_TOKENS = 64;
/** Characters per token assumed in the absence of a tokenizer. */
export const CHARACTERS_PER_TOKEN = 4;
/** Limit of hashed blocks per prompt. */
export const MAX_BLOCKS = 64;

const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
const HASH_LENGTH = 32;

/**
 * Hashes the prefixes of a prompt that end at full blocks, shortest first.
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
 * Estimates the number of tokens of a prompt from its length.
 *
 * @example estimateTokens([{ role: 'user', content: 'How many tokens?' }]) // 6
 */
export function estimateTokens(messages: readonly Message[]): number {
  let characters = 0;
  for (const message of messages) characters += message.role.length + message.content.length + 2;
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}

/** Serializes messages for hashing, up to `limit` characters. */
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
