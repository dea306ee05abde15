/**
 * The procedures that entries call at each other.
 */
import { initTRPC } from '@trpc/server';
import * as z from 'zod';
import { digestMessageSchema } from '../../controllers/membership/index.js';
import { storedObjectSchema } from '../../objects/index.js';
import { codec } from './codec.js';
import type { PeerHandlers } from './types.js';

/** Objects of one page at most; a page is longer than usual when versions share a revision. */
const PAGE_OBJECTS_MOST = 5_000;

const count = z.number().int().nonnegative();

export const changePageSchema = z.strictObject({
  since: count,
  revision: count,
  objects: z.array(storedObjectSchema).max(PAGE_OBJECTS_MOST),
  more: z.boolean(),
});

const sinceSchema = z.strictObject({ since: count });

const { router, procedure } = initTRPC.create({ transformer: codec });

/** The router of one entry. */
export function createPeerRouter(handlers: PeerHandlers) {
  return router({
    digest: router({
      exchange: procedure
        .input(digestMessageSchema)
        .mutation(({ input }) => handlers.exchange(input)),
    }),
    configuration: router({
      since: procedure.input(sinceSchema).query(({ input }) => handlers.changesSince(input.since)),
    }),
  });
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;
