/**
 * Doing what the schedule says, from outside the gateways, and undoing it.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LinkLoss } from '../../features/gateway/gateway-links.js';
import type { EngineFault } from '../../features/gateway/stand-ins/engine.js';
import type { StoreFault } from '../../features/gateway/stand-ins/store.js';
import type { FaultKind, ScheduledFault } from './schedule.js';
import type { SoakServer, SoakSite } from './site.js';

/** A fault as it was, with the instants of its begin and end. */
export interface InjectedFault {
  kind: FaultKind;
  target: string;
  from: number;
  to: number;
}

const DELAY_MS = 180;
/** A server that leaves serves at least this much longer. */
const DRAIN_MS = 2_000;
/** How long before its outage the copy may be made that the store is restored from. */
const LONGEST_COPY_AGE_MS = 4_000;
const NOTHING = 'nothing';
const ENDLESS_ANSWERS: readonly EngineFault[] = [
  { kind: 'endless', begin: () => '', repeat: '\r\n' },
  { kind: 'endless', begin: () => 'HTTP/1.1 200 ', repeat: 'b' },
  {
    kind: 'endless',
    begin: (id) => `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n\r\n`,
    repeat: ': c\n',
  },
];
const LINK_LOSSES: readonly LinkLoss[] = ['silent', 'reset', 'refused'];

/** Carries out one fault and resolves when it is over, with what it met. */
export async function inject(site: SoakSite, fault: ScheduledFault): Promise<InjectedFault> {
  const from = performance.now();
  const target = await carryOut(site, fault);
  return { kind: fault.kind, target, from, to: performance.now() };
}

async function carryOut(site: SoakSite, { kind, target, forMs }: ScheduledFault): Promise<string> {
  const gateway = pick(site.gateways, target);
  const engines = site.servers.filter(({ standIn }) => standIn.options.domain !== undefined);
  const plainServers = site.servers.filter((server) => !engines.includes(server));
  // A series of crashes may have taken all servers of a kind, which come back soon.
  if (engines.length === 0 || plainServers.length === 0) return NOTHING;
  const engine = pick(engines, target);
  const plain = pick(plainServers, target);
  const server = target % 2 === 0 ? engine : plain;
  switch (kind) {
    case 'killGateway':
      await site.restart(gateway, 'SIGKILL');
      return gateway.plan.name;
    case 'stopGateway':
      await site.restart(gateway, 'SIGTERM');
      return gateway.plan.name;
    case 'pauseGateway':
      if (gateway.isAway) return NOTHING;
      gateway.process.signal('SIGSTOP');
      await sleep(forMs);
      gateway.process.signal('SIGCONT');
      return gateway.plan.name;
    case 'cutStore':
      await gateway.storeLink.control({ cut: target % 2 === 0 ? 'both' : 'toSource' });
      await sleep(forMs);
      await gateway.storeLink.control({ cut: 'none', resetAll: true });
      return gateway.plan.name;
    case 'delayStore':
      await gateway.storeLink.control({ toSource: { delayMs: DELAY_MS } });
      await sleep(forMs);
      await gateway.storeLink.control({ toSource: { delayMs: 0 } });
      return gateway.plan.name;
    case 'resetStore':
      await gateway.storeLink.control({ resetAll: true });
      return gateway.plan.name;
    case 'storeDown':
      return failStore(site, 'down', forMs);
    case 'storeSilent':
      return failStore(site, 'silent', forMs);
    case 'storeLosesAnswers':
      return failStore(site, 'loseWrites', forMs);
    case 'storeForgets':
      site.site.store.compact();
      return 'store';
    case 'changeKey':
      site.changeKey();
      return 'operator';
    case 'crashEngine':
      await site.crash(server);
      return nameOf(server);
    case 'drainEngine':
      await site.drain(server, forMs + DRAIN_MS);
      return nameOf(server);
    case 'stallEngine':
      return spoil(server, { kind: 'stall' }, forMs);
    case 'loseAnswers':
      return spoil(plain, { kind: 'loseAnswer' }, forMs);
    case 'cutStreams':
      return spoil(engine, { kind: 'cutStream', events: 1 + (target % 9) }, forMs);
    case 'endlessAnswers':
      return spoil(server, pick(ENDLESS_ANSWERS, target), forMs);
    case 'cutEngine':
      await server.link.control({ cut: target % 3 === 0 ? 'toSource' : 'both' });
      await sleep(forMs);
      await server.link.control({ cut: 'none', resetAll: true });
      return nameOf(server);
    case 'delayEngine':
      await server.link.control({ toSource: { delayMs: DELAY_MS } });
      await sleep(forMs);
      await server.link.control({ toSource: { delayMs: 0 } });
      return nameOf(server);
    case 'resetEngine':
      await server.link.control({ resetAll: true });
      return nameOf(server);
    case 'cutLinks':
      return cutLinks(site, target, forMs);
    case 'favourGateway':
      site.favoured = gateway;
      await sleep(forMs);
      site.favoured = undefined;
      return gateway.plan.name;
    case 'restoreStore':
      await site.restoreStore(target % LONGEST_COPY_AGE_MS, forMs);
      return 'store';
    case 'lateOrders':
      engine.standIn.orderDelayMs = forMs;
      await sleep(forMs);
      engine.standIn.orderDelayMs = 0;
      return nameOf(engine);
  }
}

/** One or more gateways lose their links at once, all in the same way. */
async function cutLinks({ links }: SoakSite, target: number, forMs: number): Promise<string> {
  const first = target % links.length;
  const count = 1 + ((target % 7) % links.length);
  const loss = pick(LINK_LOSSES, target);
  const meant = [...links, ...links].slice(first, first + count);
  for (const each of meant) await each.cut(loss);
  await sleep(forMs);
  for (const each of meant) await each.restore();
  return `${count} from ${first}, ${loss}`;
}

async function failStore({ site }: SoakSite, fault: StoreFault, forMs: number): Promise<string> {
  site.store.fault = fault;
  await sleep(forMs);
  site.store.fault = 'none';
  return 'store';
}

async function spoil(server: SoakServer, fault: EngineFault, forMs: number): Promise<string> {
  server.standIn.fault = fault;
  await sleep(forMs);
  server.standIn.fault = { kind: 'none' };
  return nameOf(server);
}

function nameOf({ standIn }: SoakServer): string {
  return standIn.options.id;
}

function pick<Value>(values: readonly Value[], target: number): Value {
  const value = values[target % values.length];
  if (value === undefined) throw new Error('the site has nothing to pick from');
  return value;
}
