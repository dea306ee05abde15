/**
 * Responses to callers that can't read chunks.
 *
 * Such a response either has a length or ends with its connection. When the process is killed, the system
 * closes the connection regularly, and a part would look like the whole response. So bodies of unknown length
 * are held until they are complete.
 */
import type { IncomingMessage } from 'node:http';

/** Whether a response to the request may be sent in chunks. */
export function acceptsChunks({ httpVersionMajor, httpVersionMinor }: IncomingMessage): boolean {
  return httpVersionMajor > 1 || (httpVersionMajor === 1 && httpVersionMinor >= 1);
}
