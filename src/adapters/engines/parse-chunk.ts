/**
 * Checking one event of an engine's stream.
 */
import { engineChunkSchema, type EngineChunk } from './protocol.js';

/** Undefined when `data` is not a chunk. */
export function parseChunk(data: string): EngineChunk | undefined {
  const value = parseJson(data);
  const parsed = engineChunkSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** Undefined when `text` is not JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
