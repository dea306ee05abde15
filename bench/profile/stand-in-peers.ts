/**
 * All other gateways of a fleet: one listener that speaks as the hub of the measured one's failure
 * domain, and names for the rest.
 */
import { rankByRendezvous } from '../../src/controllers/membership/rendezvous.js';
import type { Digest, DomainSummary, KnownPeer } from '../../src/controllers/peering/index.js';
import type { RpcListener } from '../../src/adapters/peers/index.js';
import { createPeerClient, createPeerListener } from '../../src/gateway/peers/rpc.js';
import type { FleetUpdate } from '../../src/gateway/store/fleet-part.js';
import { nextAddress } from '../../features/support/ports.js';

/** Who is there, and who of them speaks for the first failure domain. */
export interface FleetNames {
  measured: KnownPeer;
  hub: KnownPeer;
  others: readonly KnownPeer[];
}

/** Names and addresses of `count` gateways in as many failure domains as given. */
export function nameFleet(count: number, failureDomains: readonly string[]): FleetNames {
  const peers = Array.from({ length: count }, (_, index): KnownPeer => {
    const failureDomain = failureDomains[index % failureDomains.length] ?? '';
    return { name: `gateway-${index}`, address: `127.0.0.1:${9 + index}`, failureDomain };
  });
  const [home = ''] = failureDomains;
  const near = peers.filter(({ failureDomain }) => failureDomain === home);
  const ranked = rankByRendezvous(
    near.map(({ name }) => name),
    home,
  );
  const find = (name: string | undefined): KnownPeer => {
    const peer = near.find((one) => one.name === name);
    if (peer === undefined) throw new Error('a failure domain needs two gateways');
    return peer;
  };
  const hub = { ...find(ranked[0]), address: nextAddress() };
  const measured = find(ranked.at(-1));
  const others = peers.filter(({ name }) => name !== hub.name && name !== measured.name);
  return { measured, hub, others };
}

/** What the hub says is in force. */
export interface HubVersions {
  configurationVersion: number;
  fleetRevision: number;
}

export class StandInPeers {
  versions: HubVersions = { configurationVersion: 0, fleetRevision: 0 };
  exchanges = 0;
  private readonly calls = createPeerClient();
  private readonly listener: RpcListener;

  constructor(
    private readonly names: FleetNames,
    /** Requests under way, by backend server. */
    private readonly load: readonly (readonly [string, number])[],
  ) {
    this.listener = createPeerListener(names.hub.address, {
      exchange: () => this.answer(),
      catchUp: () => ({}),
      applyFleetUpdate: () => undefined,
      applySuspicions: () => undefined,
      applyQuarantineNews: () => undefined,
      applyEvacuations: () => undefined,
      applyConfigurationNotice: () => undefined,
      reportFreshness: () => ({ ...this.versions, configurationAgeMs: 20, fleetAgeMs: 20 }),
      checkServer: () => Promise.resolve({ kind: 'unknown' }),
    });
  }

  async listen(): Promise<void> {
    (await this.listener.listen())._unsafeUnwrap();
  }

  /** Passes changes of backend servers on as a hub does. */
  tell(address: string, news: FleetUpdate): Promise<void> {
    return this.calls.sendFleetUpdate(address, news);
  }

  /** Tells of a version of the configuration. */
  notice(address: string, configurationVersion: number): Promise<void> {
    return this.calls.sendConfigurationNotice(address, { configurationVersion });
  }

  async close(): Promise<void> {
    await Promise.all([this.listener.close(), this.calls.close()]);
  }

  private answer(): Digest {
    this.exchanges += 1;
    const { hub, others, measured } = this.names;
    return {
      ...hub,
      ...this.versions,
      incarnation: 'stand-in',
      storeReachable: true,
      stopping: false,
      hasServed: true,
      configurationAgeMs: 20,
      fleetAgeMs: 20,
      load: [],
      suspicions: [],
      summaries: summarise([hub, ...others], measured.failureDomain, this.load),
      known: [hub, ...others],
    };
  }
}

function summarise(
  peers: readonly KnownPeer[],
  home: string,
  load: readonly (readonly [string, number])[],
): DomainSummary[] {
  const domains = new Set(peers.map(({ failureDomain }) => failureDomain));
  return [...domains].map((failureDomain) => ({
    failureDomain,
    ageMs: 50,
    hasServed: true,
    members: peers
      .filter((peer) => peer.failureDomain === failureDomain)
      .map(({ name, address }) => ({ name, address, storeReachable: true, ageMs: 100 })),
    load: failureDomain === home ? load.map(([server, requests]) => [server, requests]) : [],
    suspicions: [],
  }));
}
