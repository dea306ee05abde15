/**
 * The ids of the requests sent lately, by which an answer to another request is recognised.
 *
 * Guards against a backend server that gets its connections out of step: it answers one request
 * twice, or late, and the connection carries the next caller's request by then. HTTP/1.1 matches
 * answers by their order alone, so that caller would be shown somebody else's answer. A server that
 * returns `X-Request-Id` gives it away. Only ids that were sent from here count: a server that puts
 * an id of its own into its answers is left alone. Late answers without any id can't be told apart.
 */
import type { HeaderField } from '../../controllers/calls/types.js';

/** Requests in flight from one entry stay far below it. */
const MAX_IDS = 8_192;
const ID_FIELD = 'x-request-id';

/** The ids, the oldest dropped beyond a bound. */
export interface SentIds {
  /** Notes the request with these header fields; returns its id when it has one. */
  add(headers: readonly HeaderField[]): string | undefined;
  /** Whether an answer with these header fields is to another request than `own`. */
  isForeign(headers: readonly HeaderField[], own: string | undefined): boolean;
}

/** No ids yet. */
export function createSentIds(): SentIds {
  const ids = new Set<string>();
  return {
    add: (headers) => {
      const id = findId(headers);
      if (id === undefined) return undefined;
      ids.add(id);
      const [oldest] = ids;
      if (ids.size > MAX_IDS && oldest !== undefined) ids.delete(oldest);
      return id;
    },
    isForeign: (headers, own) => {
      const id = findId(headers);
      return id !== undefined && id !== own && ids.has(id);
    },
  };
}

function findId(headers: readonly HeaderField[]): string | undefined {
  return headers.find(({ name }) => name.toLowerCase() === ID_FIELD)?.value;
}
