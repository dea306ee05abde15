/**
 * The platform and the backend servers of a deployment, each a process of its own, with the
 * journals by which an observer outside the system judges it.
 */
import { createProxy, type Proxy, type ProxyControl } from '../../src/stand-ins/proxy/index.js';
import type { EngineControl, EngineJournal } from '../../src/stand-ins/engine/index.js';
import type { ServiceControl, ServiceJournal } from '../../src/stand-ins/service/index.js';
import type { JournalEntry } from '../../src/stand-ins/platform/index.js';
import type { StoredObject } from '../../src/objects/index.js';
import { nextAddress } from '../support/ports.js';
import { startProcess, type Process } from '../support/processes.js';
import { getJson, sendJson } from './http.js';

/** Switches of the platform stand-in; see its control route. */
export type PlatformSwitches = Readonly<Record<string, string | number | boolean>>;

/** The platform as a process. */
export interface PlatformProcess {
  process: Process;
  address: string;
  control(switches: PlatformSwitches): Promise<void>;
  /** Writes whatever the version is now, past every fault. */
  put(kind: string, name: string, value: unknown): Promise<StoredObject>;
  /** Deletes whatever the version is now, past every fault. */
  remove(kind: string, name: string): Promise<void>;
  /** The newest object, past every fault. */
  read(kind: string, name: string): Promise<StoredObject | undefined>;
  /** The writes of one kind that took effect, in their order. */
  journal(kind: string): Promise<readonly JournalEntry[]>;
}

/** A backend server as a process, which others reach through a proxy. */
export interface BackendProcess<Control, Journal> {
  name: string;
  process: Process;
  /** Where the process listens; past the proxy, for observers. */
  directAddress: string;
  /** Where the system reaches it. */
  address: string;
  proxy: Proxy;
  control(control: Control): Promise<void>;
  journal(): Promise<Journal>;
  link(control: ProxyControl): Promise<void>;
  stop(): Promise<void>;
}

export type EngineProcess = BackendProcess<EngineControl, EngineJournal>;
export type ServiceProcess = BackendProcess<ServiceControl, ServiceJournal>;

/** Starts the platform; further options go to its command line. */
export async function startPlatform(options: readonly string[] = []): Promise<PlatformProcess> {
  const process = await startProcess(['stand-in', 'platform', ...options]);
  const address = readAddress(process);
  const pathOf = (kind: string, name: string): string => `/control/objects/${kind}/${name}`;
  return {
    process,
    address,
    read: async (kind, name) => {
      const answer = await getJson(address, pathOf(kind, name));
      return answer.status === 200 ? (answer.body as StoredObject) : undefined;
    },
    control: async (switches) => {
      await postControl(address, switches);
    },
    put: async (kind, name, value) => {
      const answer = await sendJson(address, 'PUT', pathOf(kind, name), value);
      if (answer.status !== 200) throw new Error(`${kind}/${name}: status ${answer.status}`);
      return answer.body as StoredObject;
    },
    remove: async (kind, name) => {
      await sendJson(address, 'DELETE', pathOf(kind, name));
    },
    journal: async (kind) => {
      const answer = await getJson(address, `/control/journal?kind=${kind}`);
      return (answer.body as { entries: readonly JournalEntry[] }).entries;
    },
  };
}

/** Starts an engine behind a proxy; further options go to its command line. */
export function startEngine(
  name: string,
  options: readonly string[] = [],
  listen = nextAddress(),
): Promise<EngineProcess> {
  return startBackend('engine', name, options, listen);
}

/** Starts a plain service behind a proxy. */
export function startService(
  name: string,
  options: readonly string[] = [],
): Promise<ServiceProcess> {
  return startBackend('service', name, options, nextAddress());
}

async function startBackend<Control, Journal>(
  kind: 'engine' | 'service',
  name: string,
  options: readonly string[],
  listen: string,
): Promise<BackendProcess<Control, Journal>> {
  const args = ['stand-in', kind, '--instance', name, '--listen', listen, ...options];
  const process = await startProcess(args);
  const directAddress = readAddress(process);
  const created = await createProxy({ listen: nextAddress(), target: directAddress });
  const proxy = created._unsafeUnwrap();
  return {
    name,
    process,
    directAddress,
    address: proxy.address,
    proxy,
    control: async (control) => {
      await postControl(directAddress, control);
    },
    journal: async () => (await getJson(directAddress, '/journal')).body as Journal,
    link: async (control) => {
      (await proxy.control(control))._unsafeUnwrap();
    },
    stop: async () => {
      await process.kill();
      await proxy.stop();
    },
  };
}

/** A switch that the stand-in does not know would leave a fault out, and its scenario prove nothing. */
async function postControl(address: string, control: unknown): Promise<void> {
  const { status, body } = await sendJson(address, 'POST', '/control', control);
  if (status >= 400) throw new Error(`control refused: ${JSON.stringify(body)}`);
}

function readAddress(process: Process): string {
  return (process.announced.listening as { address: string }).address;
}
