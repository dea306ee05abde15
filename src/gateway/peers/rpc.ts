/**
 * RPC server and client for calls between gateways, based on tRPC.
 */
import { createTRPCClient, type TRPCClient } from '@trpc/client';
import { initTRPC } from '@trpc/server';
import { Agent } from 'undici';
import { evacuationStateSchema, type EvacuationState } from '../../controllers/evacuation/index.js';
import { createRpcLink, createRpcListener, type RpcListener } from '../../adapters/peers/index.js';
import {
  digestSchema,
  quarantineNewsSchema,
  suspicionsSchema,
  type Digest,
  type QuarantineNews,
  type ReportedSuspicion,
  type Versions,
} from '../../controllers/peering/index.js';
import { createConnector, requireFinalResponse } from '../../core/sockets/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { callWithTimeout } from '../../core/timeout/index.js';
import type { ServerCheck } from '../links/types.js';
import type { RelayHandler } from '../relay/relay-handler.js';
import type { FleetUpdate } from '../store/fleet-part.js';
import {
  decodeCatchUp,
  decodeFleetUpdate,
  encodeCatchUp,
  encodeFleetUpdate,
  fleetMessageSchema,
} from './fleet-messages.js';
import {
  configurationNoticeSchema,
  serverIdSchema,
  versionsSchema,
  type CatchUpResponse,
  type ConfigurationNotice,
  type FreshnessReport,
} from './messages.js';

/** Handlers for calls from other gateways. */
export interface PeerHandlers {
  exchange(digest: Digest): Digest;
  /** Returns the state that is newer than the caller's `versions`. */
  catchUp(versions: Versions): CatchUpResponse;
  applyFleetUpdate(update: FleetUpdate): void;
  /** Called with suspicions that another gateway has just raised or heard of. */
  applySuspicions(suspicions: readonly ReportedSuspicion[]): void;
  /** Called with servers that ended under requests, and quarantines, that are new to a hub. */
  applyQuarantineNews(news: QuarantineNews): void;
  /** Called with evacuations that a hub has just learned of. */
  applyEvacuations(state: EvacuationState): void;
  /** Called when another gateway has applied a version of the configuration. */
  applyConfigurationNotice(notice: ConfigurationNotice): void;
  /** Called by a gateway whose own proofs are old. */
  reportFreshness(): FreshnessReport;
  /** Called by a gateway that gets no answer from the backend server with this id. */
  checkServer(server: string): Promise<ServerCheck>;
}

/** Relayed requests carry the headers of callers, and as much again for the relay. */
const MAX_HEADER_BYTES = 131_072;
const MAX_MESSAGE_BYTES = 1_048_576;
/** Far above the state of a large fleet with its packed configuration. */
const MAX_RESPONSE_BYTES = 16_777_216;
const CALL_TIMEOUT_MS: Milliseconds = 700;
/** Connections to one gateway: a repeated call must not wait behind one that is lost. */
const MAX_CONNECTIONS = 4;

const { router, procedure } = initTRPC.create();

function createPeerRouter(handlers: PeerHandlers) {
  return router({
    exchange: procedure.input(digestSchema).mutation(({ input }) => handlers.exchange(input)),
    catchUp: procedure
      .input(versionsSchema)
      .query(({ input }) => encodeCatchUp(handlers.catchUp(input))),
    news: procedure.input(fleetMessageSchema).mutation(({ input }) => {
      handlers.applyFleetUpdate(decodeFleetUpdate(input));
    }),
    suspicions: procedure.input(suspicionsSchema).mutation(({ input }) => {
      handlers.applySuspicions(input);
    }),
    quarantine: procedure.input(quarantineNewsSchema).mutation(({ input }) => {
      handlers.applyQuarantineNews(input);
    }),
    evacuations: procedure.input(evacuationStateSchema).mutation(({ input }) => {
      handlers.applyEvacuations(input);
    }),
    notice: procedure.input(configurationNoticeSchema).mutation(({ input }) => {
      handlers.applyConfigurationNotice(input);
    }),
    freshness: procedure.query(() => handlers.reportFreshness()),
    checkServer: procedure
      .input(serverIdSchema)
      .query(({ input }) => handlers.checkServer(input.server)),
  });
}

type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Creates the RPC server that other gateways call. */
export function createPeerListener(
  address: string,
  handlers: PeerHandlers,
  relay?: Pick<RelayHandler, 'handle'>,
): RpcListener {
  return createRpcListener({
    address,
    router: createPeerRouter(handlers),
    maxBytes: MAX_MESSAGE_BYTES,
    ...(relay && { onOtherRequest: (...request) => relay.handle(...request) }),
    maxHeaderBytes: MAX_HEADER_BYTES,
  });
}

/** Client for calls to other gateways, by address. Each call rejects after a timeout. */
export interface PeerClient {
  exchange(address: string, digest: Digest): Promise<Digest>;
  catchUp(address: string, versions: Versions): Promise<CatchUpResponse>;
  sendFleetUpdate(address: string, update: FleetUpdate): Promise<void>;
  sendSuspicions(address: string, suspicions: readonly ReportedSuspicion[]): Promise<void>;
  sendQuarantineNews(address: string, news: QuarantineNews): Promise<void>;
  sendEvacuations(address: string, state: EvacuationState): Promise<void>;
  sendConfigurationNotice(address: string, notice: ConfigurationNotice): Promise<void>;
  askFreshness(address: string): Promise<FreshnessReport>;
  checkServer(address: string, server: string): Promise<ServerCheck>;
  close(): Promise<void>;
}

export function createPeerClient(): PeerClient {
  const agent = new Agent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    connect: createConnector(CALL_TIMEOUT_MS),
    maxResponseSize: MAX_RESPONSE_BYTES,
  });
  const limited = agent.compose(requireFinalResponse);
  const clients = new Map<string, TRPCClient<PeerRouter>>();
  const rpcClientFor = (address: string): TRPCClient<PeerRouter> => {
    const existing = clients.get(address);
    if (existing) return existing;
    const created = createTRPCClient<PeerRouter>({
      links: [createRpcLink<PeerRouter>(address, limited)],
    });
    clients.set(address, created);
    return created;
  };
  return {
    exchange: (address, digest) =>
      callWithTimeout(CALL_TIMEOUT_MS, (signal) =>
        rpcClientFor(address).exchange.mutate(digest, { signal }),
      ),
    catchUp: (address, versions) =>
      callWithTimeout(CALL_TIMEOUT_MS, (signal) =>
        rpcClientFor(address).catchUp.query(versions, { signal }),
      ).then(decodeCatchUp),
    sendFleetUpdate: (address, update) =>
      callWithTimeout(CALL_TIMEOUT_MS, (signal) =>
        rpcClientFor(address).news.mutate(encodeFleetUpdate(update), { signal }),
      ),
    sendSuspicions: (address, suspicions) =>
      callWithTimeout(CALL_TIMEOUT_MS, (signal) =>
        rpcClientFor(address).suspicions.mutate([...suspicions], { signal }),
      ),
    sendQuarantineNews: (address, news) =>
      callWithTimeout(CALL_TIMEOUT_MS, (signal) =>
        rpcClientFor(address).quarantine.mutate(news, { signal }),
      ),
    sendEvacuations: (address, state) =>
      callWithTimeout(CALL_TIMEOUT_MS, (signal) =>
        rpcClientFor(address).evacuations.mutate(state, { signal }),
      ),
    sendConfigurationNotice: (address, notice) =>
      callWithTimeout(CALL_TIMEOUT_MS, (signal) =>
        rpcClientFor(address).notice.mutate(notice, { signal }),
      ),
    askFreshness: (address) =>
      callWithTimeout(CALL_TIMEOUT_MS, (signal) =>
        rpcClientFor(address).freshness.query(undefined, { signal }),
      ),
    checkServer: (address, server) =>
      callWithTimeout(CALL_TIMEOUT_MS, (signal) =>
        rpcClientFor(address).checkServer.query({ server }, { signal }),
      ),
    close: () => agent.destroy(),
  };
}
