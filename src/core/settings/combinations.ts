/**
 * Checks across settings that are valid individually but incompatible with each other.
 */
import type { EntrySettings } from './entry-settings.js';
import type { SettingsFault } from './issues.js';

const MIN_ORDERS_PER_LEASE = 2;
const MIN_DIGESTS_BEFORE_FORGOTTEN = 3;
const MAX_PORT = 65_535;
const IPV4_PATTERN = /^(\d{1,3}\.){3}\d{1,3}$/;

interface Rule {
  key: string;
  value: (settings: EntrySettings) => number;
  /** Smallest valid value given the other settings. */
  minimum: (settings: EntrySettings) => number;
  reason: string;
}

const RULES: readonly Rule[] = [
  {
    key: 'replicas.leaseMs',
    value: ({ replicas }) => replicas.leaseMs,
    minimum: ({ replicas, platform }) =>
      MIN_ORDERS_PER_LEASE * replicas.orderTimeoutMs + replicas.planEveryMs + platform.timeoutMs,
    reason: 'an owner must be able to renew its lease and to end an order before the lease lapses',
  },
  {
    key: 'health.freshMs',
    value: ({ health }) => health.freshMs,
    minimum: ({ health }) => health.probeEveryMs + health.probeTimeoutMs,
    reason: 'between two good reports a healthy replica must not count as unheard',
  },
  {
    key: 'membership.forgetMs',
    value: ({ membership }) => membership.forgetMs,
    minimum: ({ membership }) => MIN_DIGESTS_BEFORE_FORGOTTEN * membership.digestEveryMs,
    reason: 'an entry must not be forgotten between two of its digests',
  },
];

/**
 * Returns the faults of `settings` that the schema cannot detect because they involve several values.
 *
 * @example findIncompatibleSettings(settings).length === 0
 */
export function findIncompatibleSettings(settings: EntrySettings): SettingsFault[] {
  return [...checkRules(settings), ...checkAddresses(settings), ...checkListeners(settings)];
}

function checkRules(settings: EntrySettings): SettingsFault[] {
  return RULES.filter((rule) => rule.value(settings) < rule.minimum(settings)).map((rule) => ({
    key: rule.key,
    value: String(rule.value(settings)),
    fix: `must be at least ${rule.minimum(settings)} with the other settings: ${rule.reason}`,
  }));
}

interface NamedAddress {
  key: string;
  address: string;
}

function listAddresses({ listen, platform, peers }: EntrySettings): NamedAddress[] {
  return [
    { key: 'listen.callers', address: listen.callers },
    { key: 'listen.operators', address: listen.operators },
    { key: 'listen.peers', address: listen.peers },
    { key: 'platform.address', address: platform.address },
    ...peers.map((address, index) => ({ key: `peers.${index}`, address })),
  ];
}

function checkAddresses(settings: EntrySettings): SettingsFault[] {
  return listAddresses(settings)
    .filter(({ address }) => !isUsableAddress(address))
    .map(({ key, address }) => ({
      key,
      value: JSON.stringify(address),
      fix: `must be an IP number and a port up to ${MAX_PORT}, for example "10.0.0.7:8080"`,
    }));
}

function isUsableAddress(address: string): boolean {
  const [host = '', port = ''] = address.split(':');
  return IPV4_PATTERN.test(host) && Number(port) <= MAX_PORT;
}

function checkListeners({ listen }: EntrySettings): SettingsFault[] {
  const seen = new Map<string, string>();
  const faults: SettingsFault[] = [];
  for (const [name, address] of Object.entries(listen)) {
    const existingName = seen.get(address);
    if (existingName !== undefined && !address.endsWith(':0')) {
      const fix = `must differ from listen.${existingName}: one port serves one purpose`;
      faults.push({ key: `listen.${name}`, value: JSON.stringify(address), fix });
    }
    seen.set(address, name);
  }
  return faults;
}
