/**
 * What one gateway is put through, and what each step of it costs.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { request as httpRequest, Agent } from 'node:http';
import {
  exampleConfiguration,
  exampleHeaders,
} from '../../features/gateway/stand-ins/configuration.js';
import { StoreStandIn } from '../../features/gateway/stand-ins/store.js';
import { waitFor } from '../../features/support/waiting.js';
import { MeasuredGateway, type FunctionCost } from './measured-gateway.js';
import { StandInFleet } from './stand-in-fleet.js';
import { nameFleet, StandInPeers } from './stand-in-peers.js';

/** The fleet around the measured gateway. */
export interface FleetSize {
  gateways: number;
  engines: number;
  routes: number;
  failureDomains: number;
}

/** Processor time of one gateway in milliseconds, unless the name says otherwise. */
export interface GatewayCosts {
  startMs: number;
  /** For each second without callers or news. */
  restMsPerSecond: number;
  /** For each engine whose entry changes. */
  engineChangeMs: number;
  /** For each version of the configuration. */
  configurationMs: number;
  /** For each request to a plain server. */
  requestMs: number;
  /** For each stream, a few of which run at once. */
  streamMs: number;
  privateMb: number;
  functions: readonly FunctionCost[];
}

const SETTLE_MS = 3_000;
const REST_MS = 6_000;
const CHANGES = 200;
const CHANGE_EVERY_MS = 20;
/** Later than all that the store gives out here. */
const FIRST_REVISION = 1_000_000;
const VERSIONS = 20;
const VERSION_EVERY_MS = 150;
const REQUESTS = 300;
const WARM_REQUESTS = 100;
const MS_PER_SECOND = 1_000;

/** Measures one gateway of a fleet of that size. */
export async function measureGateway(
  size: FleetSize,
  samplesFunctions: boolean,
): Promise<GatewayCosts> {
  const zones = Array.from({ length: size.failureDomains }, (_, index) => `zone-${index}`);
  const names = nameFleet(size.gateways, zones);
  const store = new StoreStandIn();
  await store.listen();
  const fleet = new StandInFleet(store, size.engines, zones);
  await fleet.open();
  const peers = new StandInPeers(names, fleet.listLoad());
  await peers.listen();
  const configure = (version: number): void => {
    store.put('config', 'main', configurationOf(version, size.routes));
    peers.versions = { ...peers.versions, configurationVersion: version };
  };
  configure(1);
  for (const peer of [names.hub, ...names.others]) store.put('gateways', peer.name, peer);
  const gateway = new MeasuredGateway({
    ...names.measured,
    store: store.address,
    seeds: [names.hub.address],
    samplesFunctions,
  });
  try {
    await gateway.start();
    await whenReady(gateway);
    const startMs = await gateway.readProcessorMs();
    await sleep(SETTLE_MS);
    const restMsPerSecond = await measureRest(gateway);
    const run = async (work: () => Promise<void>, count: number): Promise<number> => {
      const before = await gateway.readProcessorMs();
      const beganAt = performance.now();
      await work();
      const seconds = (performance.now() - beganAt) / MS_PER_SECOND;
      const usedMs = (await gateway.readProcessorMs()) - before;
      return (usedMs - restMsPerSecond * seconds) / count;
    };
    const engineChangeMs = await run(() => changeEngines(gateway, fleet, peers, size), CHANGES);
    const configurationMs = await run(() => changeVersions(gateway, peers, configure), VERSIONS);
    await ask(gateway, PLAIN, WARM_REQUESTS);
    const requestMs = await run(() => ask(gateway, PLAIN, REQUESTS), REQUESTS);
    await ask(gateway, STREAM, WARM_REQUESTS);
    const streamMs = await run(() => ask(gateway, STREAM, REQUESTS), REQUESTS);
    const privateMb = await gateway.readPrivateMb();
    const functions = await gateway.close();
    return {
      startMs,
      restMsPerSecond,
      engineChangeMs,
      configurationMs,
      requestMs,
      streamMs,
      privateMb,
      functions,
    };
  } finally {
    await gateway.close();
    await peers.close();
    fleet.close();
    store.close();
  }
}

function configurationOf(version: number, routes: number): unknown {
  const example = exampleConfiguration({ version }) as { routes: Record<string, unknown>[] };
  const [first] = example.routes;
  const more = Array.from({ length: Math.max(0, routes - example.routes.length) }, (_, index) => ({
    ...first,
    name: `more-${index}`,
    path_prefix: `/more-${index}/`,
  }));
  return { ...example, routes: [...example.routes, ...more] };
}

async function whenReady({ addresses }: MeasuredGateway): Promise<void> {
  await waitFor('the gateway to be ready', async () => {
    const status = await get(addresses.readiness, '/readyz').catch(() => 0);
    return status === 200;
  });
}

async function measureRest(gateway: MeasuredGateway): Promise<number> {
  const before = await gateway.readProcessorMs();
  await sleep(REST_MS);
  return ((await gateway.readProcessorMs()) - before) / (REST_MS / MS_PER_SECOND);
}

async function changeEngines(
  { addresses }: MeasuredGateway,
  fleet: StandInFleet,
  peers: StandInPeers,
  { engines }: FleetSize,
): Promise<void> {
  for (let count = 0; count < CHANGES; count += 1) {
    const change = fleet.change(count % engines, `other-${count}`);
    const news = { since: 0, revision: FIRST_REVISION + count, absentInMs: 0, changes: [change] };
    peers.versions = { ...peers.versions, fleetRevision: news.revision };
    await peers.tell(addresses.peers, news);
    await sleep(CHANGE_EVERY_MS);
  }
}

async function changeVersions(
  { addresses }: MeasuredGateway,
  peers: StandInPeers,
  configure: (version: number) => void,
): Promise<void> {
  for (let version = 2; version < 2 + VERSIONS; version += 1) {
    configure(version);
    await peers.notice(addresses.peers, version);
    await sleep(VERSION_EVERY_MS);
  }
}

/** A kind of request, and how many of it callers have under way at once. */
interface Asking {
  path: string;
  callers: number;
}

const PLAIN: Asking = { path: '/list/slots', callers: 1 };
const STREAM: Asking = { path: '/chat/talk', callers: 4 };

async function ask(
  { addresses }: MeasuredGateway,
  { path, callers }: Asking,
  requests: number,
): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: callers });
  const askInTurn = async (caller: number): Promise<void> => {
    for (let count = caller; count < requests; count += callers) {
      const headers = exampleHeaders(`request-${path}-${count}`);
      const status = await get(addresses.callers, path, { agent, headers });
      if (status !== 200) throw new Error(`a request was answered ${status}`);
    }
  };
  await Promise.all(Array.from({ length: callers }, (_, caller) => askInTurn(caller)));
  agent.destroy();
}

function get(
  address: string,
  path: string,
  options: { agent?: Agent; headers?: Record<string, string> } = {},
): Promise<number> {
  return new Promise((resolve, reject) => {
    const [host = '', port = ''] = address.split(':');
    const outgoing = httpRequest({ host, port, path, ...options }, (incoming) => {
      incoming.resume();
      incoming.on('end', () => {
        resolve(incoming.statusCode ?? 0);
      });
      incoming.on('error', reject);
    });
    outgoing.on('error', reject);
    outgoing.end();
  });
}
