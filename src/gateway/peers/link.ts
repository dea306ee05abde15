/**
 * Calls between gateways over tRPC.
 */
import { createServer } from 'node:http';
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { initTRPC } from '@trpc/server';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import type { ResultAsync } from 'neverthrow';
import { Agent } from 'undici';
import { z } from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import { callWithin } from '../../core/timeout/index.js';
import { closeServer, listenOn } from '../../core/listening/index.js';
import type { BackendServer, ServingConfiguration } from '../../ports/index.js';
import { digestSchema, type Digest } from './digest.js';

/** What one gateway gives another that has been cut off from the store. */
export interface CatchUp {
  configuration?: ServingConfiguration;
  fleet?: { revision: number; servers: readonly BackendServer[] };
}

/** What this gateway answers to others. */
export interface PeerHandlers {
  exchange(digest: Digest): Digest;
  catchUp(since: { configurationVersion: number; fleetRevision: number }): CatchUp;
}

const versionsSchema = z.object({ configurationVersion: z.number(), fleetRevision: z.number() });
const MAX_MESSAGE_BYTES = 1_048_576;
const KEEP_ALIVE_MS: Milliseconds = 60_000;
const CALL_TIMEOUT_MS: Milliseconds = 700;

const { router, procedure } = initTRPC.create();

function createPeerRouter(handlers: PeerHandlers) {
  return router({
    exchange: procedure.input(digestSchema).mutation(({ input }) => handlers.exchange(input)),
    catchUp: procedure.input(versionsSchema).query(({ input }) => handlers.catchUp(input)),
  });
}

type PeerRouter = ReturnType<typeof createPeerRouter>;

/** The listener for other gateways. */
export interface PeerListener {
  listen(): ResultAsync<string, Failure<'unreachable'>>;
  close(): Promise<void>;
}

export function createPeerListener(address: string, handlers: PeerHandlers): PeerListener {
  const handle = createHTTPHandler({
    router: createPeerRouter(handlers),
    maxBodySize: MAX_MESSAGE_BYTES,
  });
  const server = createServer((request, response) => {
    response.sendDate = false;
    handle(request, response);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  return { listen: () => listenOn(server, address), close: () => closeServer(server) };
}

/** Calls to other gateways, by address. Each rejects within its timeout when no answer came. */
export interface PeerCalls {
  exchange(address: string, digest: Digest): Promise<Digest>;
  catchUp(
    address: string,
    since: { configurationVersion: number; fleetRevision: number },
  ): Promise<CatchUp>;
  close(): Promise<void>;
}

export function createPeerCalls(): PeerCalls {
  const agent = new Agent({ connections: 2, pipelining: 1, connect: { timeout: CALL_TIMEOUT_MS } });
  const clients = new Map<string, TRPCClient<PeerRouter>>();
  const clientOf = (address: string): TRPCClient<PeerRouter> => {
    const known = clients.get(address);
    if (known) return known;
    const created = createTRPCClient<PeerRouter>({ links: [createLink(address, agent)] });
    clients.set(address, created);
    return created;
  };
  return {
    exchange: (address, digest) =>
      callWithin(CALL_TIMEOUT_MS, (signal) =>
        clientOf(address).exchange.mutate(digest, { signal }),
      ),
    catchUp: (address, since) =>
      callWithin(CALL_TIMEOUT_MS, (signal) => clientOf(address).catchUp.query(since, { signal })),
    close: () => agent.destroy(),
  };
}

/** undici's `request` in place of `fetch`, whose headers for browsers would double a digest. */
function createLink(address: string, agent: Agent) {
  return httpLink({
    url: `http://${address}`,
    fetch: async (input, init) => {
      const url = new URL(input as string);
      const { statusCode, body } = await agent.request({
        origin: url.origin,
        path: url.pathname + url.search,
        method: init?.method === 'POST' ? 'POST' : 'GET',
        headers: { 'content-type': 'application/json' },
        body: typeof init?.body === 'string' ? init.body : null,
        signal: init?.signal ?? null,
      });
      const text = await body.text();
      return {
        ok: statusCode < 300,
        status: statusCode,
        statusText: '',
        json: () => Promise.resolve(JSON.parse(text) as unknown),
      };
    },
  });
}
