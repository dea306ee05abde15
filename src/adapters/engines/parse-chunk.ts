/**
 * Checking one event of an engine's stream.
 */
import { parseJson } from '../../core/json/index.js';
import { engineChunkSchema, type EngineChunk } from './protocol.js';

/** Undefined when `data` is not a chunk. */
export function parseChunk(data: string): EngineChunk | undefined {
  return engineChunkSchema.safeParse(parseJson(data)).data;
}
