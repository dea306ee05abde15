/**
 * Calls between gateways over tRPC.
 */
import { createTRPCClient, type TRPCClient } from '@trpc/client';
import { initTRPC } from '@trpc/server';
import { Agent } from 'undici';
import { createRpcLink, createRpcListener, type RpcListener } from '../../adapters/peers/index.js';
import { digestSchema, type Digest, type Versions } from '../../controllers/peering/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { callWithin } from '../../core/timeout/index.js';
import type { FleetNews } from '../store/fleet-part.js';
import { fleetNewsSchema, noticeSchema, versionsSchema, type CatchUp } from './messages.js';

/** What this gateway answers to others. */
export interface PeerHandlers {
  exchange(digest: Digest): Digest;
  /** What the caller lacks. */
  catchUp(has: Versions): CatchUp;
  takeNews(news: FleetNews): void;
  /** Another gateway has just put this version of the configuration in force. */
  hearOf(version: number): void;
}

const MAX_MESSAGE_BYTES = 1_048_576;
const CALL_TIMEOUT_MS: Milliseconds = 700;

const { router, procedure } = initTRPC.create();

function createPeerRouter(handlers: PeerHandlers) {
  return router({
    exchange: procedure.input(digestSchema).mutation(({ input }) => handlers.exchange(input)),
    catchUp: procedure.input(versionsSchema).query(({ input }) => handlers.catchUp(input)),
    news: procedure.input(fleetNewsSchema).mutation(({ input }) => {
      handlers.takeNews(input);
    }),
    notice: procedure.input(noticeSchema).mutation(({ input }) => {
      handlers.hearOf(input.configurationVersion);
    }),
  });
}

type PeerRouter = ReturnType<typeof createPeerRouter>;

/** The listener for other gateways. */
export function createPeerListener(address: string, handlers: PeerHandlers): RpcListener {
  return createRpcListener({
    address,
    router: createPeerRouter(handlers),
    maxBytes: MAX_MESSAGE_BYTES,
  });
}

/** Calls to other gateways, by address. Each rejects within its timeout when no answer came. */
export interface PeerCalls {
  exchange(address: string, digest: Digest): Promise<Digest>;
  catchUp(address: string, has: Versions): Promise<CatchUp>;
  news(address: string, news: FleetNews): Promise<void>;
  notice(address: string, configurationVersion: number): Promise<void>;
  close(): Promise<void>;
}

export function createPeerCalls(): PeerCalls {
  const agent = new Agent({ connections: 2, pipelining: 1, connect: { timeout: CALL_TIMEOUT_MS } });
  const clients = new Map<string, TRPCClient<PeerRouter>>();
  const clientOf = (address: string): TRPCClient<PeerRouter> => {
    const known = clients.get(address);
    if (known) return known;
    const created = createTRPCClient<PeerRouter>({
      links: [createRpcLink<PeerRouter>(address, agent)],
    });
    clients.set(address, created);
    return created;
  };
  return {
    exchange: (address, digest) =>
      callWithin(CALL_TIMEOUT_MS, (signal) =>
        clientOf(address).exchange.mutate(digest, { signal }),
      ),
    catchUp: (address, has) =>
      callWithin(CALL_TIMEOUT_MS, (signal) => clientOf(address).catchUp.query(has, { signal })),
    news: (address, news) =>
      callWithin(CALL_TIMEOUT_MS, (signal) => clientOf(address).news.mutate(news, { signal })),
    notice: (address, configurationVersion) =>
      callWithin(CALL_TIMEOUT_MS, (signal) =>
        clientOf(address).notice.mutate({ configurationVersion }, { signal }),
      ),
    close: () => agent.destroy(),
  };
}
