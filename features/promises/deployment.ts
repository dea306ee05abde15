/**
 * A deployment for one scenario: a platform, engines, plain services and entries, each a process of
 * its own. Entries reach the platform and the backend servers through proxies that can inject
 * faults. Every process is ended by `stop`.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createHash } from 'node:crypto';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createProxy, type Proxy } from '../../src/stand-ins/proxy/index.js';
import type { DomainPlan, Replica, Workspace } from '../../src/objects/index.js';
import { startProcess, type Process } from '../support/processes.js';
import { nextAddress } from '../support/ports.js';
import { waitFor } from '../support/waiting.js';
import {
  startEngine,
  startPlatform,
  startService,
  type EngineProcess,
  type PlatformProcess,
  type ServiceProcess,
} from './backends.js';
import { API_KEY, WORKSPACE } from './callers.js';
import { getJson } from './http.js';
import { openPeerLink, type PeerLink } from './peer-link.js';

export const MODEL = 'pass-assistant';
export const SERVICE = 'slots';

/** Spans of the settings, shortened so that a scenario sees leases lapse. In milliseconds. */
const LEASE_MS = 2_500;
const ORDER_TIMEOUT_MS = 500;
const FRESH_MS = 1_000;
const FORGET_MS = 3_000;
const BALANCER_MS = 300;
const PLATFORM_TIMEOUT_MS = 1_000;
const WATCH_MS = 5_000;

/** What a deployment starts with. */
export interface DeploymentPlan {
  /** Engines of each fabric domain, by the domain's name. */
  engines: Readonly<Record<string, number>>;
  services: number;
  entries: number;
  replicaSize: number;
  replicas: number;
  /** Engines that check fencing numbers; the others obey old orders. */
  fencing: 'checked' | 'ignored';
  /** Of the stand-in engines' command line. */
  engineOptions: readonly string[];
  platformOptions: readonly string[];
  /** Options of the entries' runtime, such as the size of its young generation. */
  entryRuntimeOptions: readonly string[];
  /** How long an entry believes a report of an instance, in milliseconds. */
  freshMs: number;
  /** More tables of the entries' settings, in TOML. */
  entryTables: string;
  /** Limits of the callers' workspace, where they differ from the defaults. */
  limits: Partial<Workspace['limits']>;
  /** Entries reach each other through proxies. */
  withPeerLinks: boolean;
}

export const SMALL_PLAN: DeploymentPlan = {
  engines: { 'fabric-1': 2 },
  services: 1,
  entries: 1,
  replicaSize: 2,
  replicas: 1,
  fencing: 'checked',
  engineOptions: ['--decode-ms-per-token', '5'],
  platformOptions: [],
  entryRuntimeOptions: [],
  freshMs: FRESH_MS,
  entryTables: '',
  limits: {},
  withPeerLinks: false,
};

/** One entry as a process. */
export interface EntryProcess {
  name: string;
  process: Process;
  /** `host:port` each. */
  callers: string;
  operators: string;
  peers: string;
  /** Between this entry and the platform. */
  platformLink: Proxy;
  /** Between the other entries and this one, when the plan has such links. */
  peerLink?: Proxy;
  isReady(): Promise<boolean>;
}

export interface Deployment {
  platform: PlatformProcess;
  engines: Map<string, EngineProcess>;
  services: Map<string, ServiceProcess>;
  entries: Map<string, EntryProcess>;
  plan: DeploymentPlan;
  /** The entry at this place in the order of their starts. */
  entry(index: number): EntryProcess;
  engine(name: string): EngineProcess;
  service(index: number): ServiceProcess;
  startEntry(): Promise<EntryProcess>;
  /** Starts another process of an engine that was killed, at the same address. */
  restartEngine(name: string): Promise<EngineProcess>;
  /** All replicas of the stored plans. */
  readReplicas(): Promise<Replica[]>;
  /** Waits until so many replicas are whole in the plans. */
  whenWhole(count: number): Promise<Replica[]>;
  whenReady(): Promise<void>;
  stop(): Promise<void>;
}

/** Starts everything but waits for nothing to become ready. */
export async function startDeployment(given: Partial<DeploymentPlan> = {}): Promise<Deployment> {
  const plan = { ...SMALL_PLAN, ...given };
  const folder = await mkdtemp(join(tmpdir(), 'yuccasail-'));
  const platform = await startPlatform(plan.platformOptions);
  const deployment = createDeployment(plan, folder, platform);
  await Promise.all([
    putConfiguration(deployment),
    startEngines(deployment),
    startServices(deployment),
  ]);
  for (let index = 0; index < plan.entries; index += 1) await deployment.startEntry();
  return deployment;
}

function createDeployment(
  plan: DeploymentPlan,
  folder: string,
  platform: PlatformProcess,
): Deployment {
  const engines = new Map<string, EngineProcess>();
  const services = new Map<string, ServiceProcess>();
  const entries = new Map<string, EntryProcess>();
  let startedEntries = 0;
  const deployment: Deployment = {
    platform,
    engines,
    services,
    entries,
    plan,
    entry: (index) => pick([...entries.values()][index], `entry ${index}`),
    engine: (name) => pick(engines.get(name), name),
    service: (index) => pick([...services.values()][index], `service ${index}`),
    startEntry: () => {
      const name = `entry-${startedEntries}`;
      startedEntries += 1;
      return startEntry(deployment, folder, name);
    },
    restartEngine: (name) => restartEngine(deployment, name),
    readReplicas: () => readReplicas(deployment),
    whenWhole: (count) =>
      waitFor(`${count} replicas to be whole`, async () => {
        const replicas = await readReplicas(deployment);
        return replicas.filter(({ phase }) => phase === 'whole').length >= count && replicas;
      }),
    whenReady: async () => {
      for (const entry of entries.values()) {
        await waitFor(`${entry.name} to be ready`, () => entry.isReady());
      }
    },
    stop: async () => {
      const links = [...entries.values()].flatMap(({ platformLink, peerLink }) => [
        platformLink.stop(),
        peerLink?.stop(),
      ]);
      const killed = [...entries.values()].map(({ process }) => process.kill());
      const stopped = [...engines.values(), ...services.values()].map((one) => one.stop());
      await Promise.all([...links, ...killed, ...stopped, platform.process.kill()]);
      await rm(folder, { recursive: true, force: true });
    },
  };
  return deployment;
}

function pick<Value>(value: Value | undefined, what: string): Value {
  if (value === undefined) throw new Error(`the deployment has no ${what}`);
  return value;
}

async function putConfiguration({ platform, plan }: Deployment): Promise<void> {
  const keyHash = createHash('sha256').update(API_KEY).digest('hex');
  await platform.put('workspace', WORKSPACE, { keyHashes: [keyHash], limits: plan.limits });
  const { replicaSize, replicas } = plan;
  await platform.put('model', MODEL, { replicaSize, replicas });
  await platform.put('service', SERVICE, {
    rules: [
      { method: 'POST', pathPrefix: '/passes', handling: 'once' },
      { method: 'POST', pathPrefix: '/slots', handling: 'once' },
      { method: 'POST', pathPrefix: '/check-ins', handling: 'once' },
    ],
  });
  const fencingChecked = [{ key: 'fencing', operator: 'in', values: ['checked'] }];
  await platform.put('policy', 'default', { fencingChecked });
}

async function startEngines(deployment: Deployment): Promise<void> {
  const { plan } = deployment;
  const names = Object.entries(plan.engines).flatMap(([domain, count]) =>
    Array.from({ length: count }, (_, index) => ({ domain, name: `${domain}-engine-${index}` })),
  );
  await Promise.all(
    names.map(async ({ domain, name }) => {
      const engine = await startEngine(name, ['--fencing', plan.fencing, ...plan.engineOptions]);
      deployment.engines.set(name, engine);
      await listEngine(deployment, name, domain);
    }),
  );
}

function listEngine(deployment: Deployment, name: string, domain: string, state = 'live') {
  return deployment.platform.put('instance', name, {
    role: 'engine',
    address: deployment.engine(name).address,
    failureDomain: 'site-1',
    fabricDomain: domain,
    labels: { fencing: deployment.plan.fencing },
    state,
  });
}

async function startServices(deployment: Deployment): Promise<void> {
  for (let index = 0; index < deployment.plan.services; index += 1) {
    const name = `slots-${index}`;
    const service = await startService(name);
    deployment.services.set(name, service);
    await deployment.platform.put('instance', name, {
      role: 'service',
      address: service.address,
      failureDomain: 'site-1',
      labels: { service: SERVICE },
    });
  }
}

async function restartEngine(deployment: Deployment, name: string): Promise<EngineProcess> {
  const before = deployment.engine(name);
  await before.process.kill();
  const options = ['--fencing', deployment.plan.fencing, ...deployment.plan.engineOptions];
  const after = await startEngine(name, options, before.directAddress);
  // Others go on reaching it at the address of the proxy that was there before.
  await after.proxy.stop();
  const { address, proxy } = before;
  const link: EngineProcess['link'] = (control) => before.link(control);
  const stop = async (): Promise<void> => {
    await after.process.kill();
    await before.proxy.stop();
  };
  deployment.engines.set(name, { ...after, address, proxy, link, stop });
  return deployment.engine(name);
}

async function startEntry(
  deployment: Deployment,
  folder: string,
  name: string,
): Promise<EntryProcess> {
  const { entries, platform } = deployment;
  const created = await createProxy({ listen: nextAddress(), target: platform.address });
  const platformLink = created._unsafeUnwrap();
  const peerLink = deployment.plan.withPeerLinks ? await openPeerLink() : undefined;
  const seeds = [...entries.values()].map(({ peers }) => peers);
  const file = join(folder, `${name}.toml`);
  await writeFile(
    file,
    renderSettings(name, platformLink.address, seeds, peerLink, deployment.plan.freshMs) +
      deployment.plan.entryTables,
  );
  const process = await startProcess(
    ['entry', '--settings', file],
    deployment.plan.entryRuntimeOptions,
  );
  const { callers, operators, peers } = process.announced.listening as Record<string, string>;
  const entry: EntryProcess = {
    name,
    process,
    callers: pick(callers, 'address for callers'),
    operators: operators ?? '',
    peers: pick(peers, 'address for peers'),
    platformLink,
    ...(peerLink && { peerLink: peerLink.proxy }),
    isReady: async () => (await getJson(entry.callers, '/readyz')).status === 200,
  };
  entries.set(name, entry);
  await platform.put('instance', name, {
    role: 'entry',
    address: entry.callers,
    peerAddress: entry.peers,
    failureDomain: 'site-1',
  });
  return entry;
}

function renderSettings(
  name: string,
  platform: string,
  seeds: readonly string[],
  peerLink: PeerLink | undefined,
  freshMs: number,
): string {
  const advertised = peerLink && `advertisedPeers = "${peerLink.proxy.address}"`;
  return `
name = "${name}"
failureDomain = "site-1"
peers = ${JSON.stringify(seeds)}
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "${peerLink?.listen ?? '127.0.0.1:0'}"
${advertised ?? ''}
[platform]
address = "${platform}"
timeoutMs = ${PLATFORM_TIMEOUT_MS}
watchMs = ${WATCH_MS}
[replicas]
leaseMs = ${LEASE_MS}
orderTimeoutMs = ${ORDER_TIMEOUT_MS}
planEveryMs = 100
[health]
probeEveryMs = 100
freshMs = ${freshMs}
[membership]
digestEveryMs = 100
forgetMs = ${FORGET_MS}
[stopping]
balancerMs = ${BALANCER_MS}
`;
}

async function readReplicas({ platform, plan }: Deployment): Promise<Replica[]> {
  const domains = Object.keys(plan.engines);
  const plans = await Promise.all(domains.map((name) => platform.read('domain-plan', name)));
  return plans.flatMap((plan) => (plan?.value as DomainPlan | undefined)?.replicas ?? []);
}
