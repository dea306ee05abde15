/**
 * A site in which each gateway reaches each backend server over a link of its own, which can be cut.
 *
 * Each gateway reads the store through a view that names its own links as the servers' addresses, and
 * is the only one in its failure domain, since gateways of one domain pass such entries on.
 */
import { createProxy, type Proxy, type ProxyControl } from '../../src/stand-ins/proxy/index.js';
import { nextAddress } from '../support/ports.js';
import { waitFor } from '../support/waiting.js';
import { Site, type GatewayProcess } from './site.js';
import type { EngineOptions, EngineStandIn } from './stand-ins/engine.js';

/** How a gateway loses a link. */
export type LinkLoss =
  /** Bytes are swallowed, also on new connections. */
  | 'silent'
  /** Connections are reset and new ones refused. */
  | 'reset'
  /** New connections are refused; old ones go on. */
  | 'refused';

interface ServerLink {
  /** The server's own address. */
  target: string;
  service: string;
  proxy: Proxy;
}

const LOSSES: Readonly<Record<LinkLoss, ProxyControl>> = {
  silent: { cut: 'both' },
  reset: { refuse: true, resetAll: true },
  refused: { refuse: true },
};

export class LinkedSite extends Site {
  /** By the gateway's position. */
  private readonly links: ServerLink[][];
  /** Where the gateways listen for each other. */
  peerAddresses: readonly string[] = [];

  constructor(private readonly gatewayCount: number) {
    super();
    this.links = Array.from({ length: gatewayCount }, () => []);
  }

  override async addServer(
    options: Partial<EngineOptions> & { id: string; service: string },
  ): Promise<EngineStandIn> {
    const { service } = options;
    return super.addServer({ ...options, advertised: (own) => this.openLinks(own, service) });
  }

  /** Starts all gateways and resolves when they are ready and have heard each other. */
  async startGateways(): Promise<void> {
    const plans = [];
    for (const links of this.links) {
      const view = await this.store.openView((text) => translate(text, links));
      const plan = this.planGateway(view);
      plans.push({ ...plan, failureDomain: `${plan.failureDomain}-${plan.name}` });
    }
    this.peerAddresses = plans.map(({ peers }) => peers);
    for (const plan of plans) await this.launch(plan);
    for (const gateway of this.gateways) await this.waitUntilReady(gateway);
    await waitFor('the gateways to hear each other', () =>
      this.gateways.every(({ lines }) => countHeard(lines) >= this.gatewayCount - 1),
    );
  }

  /** Cuts the links of the first `count` gateways to the servers of `service`, or to all servers. */
  async cut(count: number, loss: LinkLoss, service?: string): Promise<void> {
    await this.control(count, LOSSES[loss], service);
  }

  async restore(): Promise<void> {
    await this.control(this.gatewayCount, { cut: 'none', refuse: false });
  }

  override async close(): Promise<void> {
    await super.close();
    await Promise.all(this.links.flat().map(({ proxy }) => proxy.stop()));
  }

  private async control(count: number, change: ProxyControl, service?: string): Promise<void> {
    const links = this.links.slice(0, count).flat();
    const meant = links.filter((link) => !service || link.service === service);
    for (const { proxy } of meant) (await proxy.control(change))._unsafeUnwrap();
  }

  /** The entry names the server's own address, which no gateway gets to see. */
  private async openLinks(target: string, service: string): Promise<string> {
    for (const links of this.links) {
      const proxy = (await createProxy({ listen: nextAddress(), target }))._unsafeUnwrap();
      links.push({ proxy, target, service });
    }
    return target;
  }
}

function translate(text: string, links: readonly ServerLink[]): string {
  return links.reduce(
    (translated, { target, proxy }) => translated.replaceAll(`"${target}"`, `"${proxy.address}"`),
    text,
  );
}

function countHeard(lines: GatewayProcess['lines']): number {
  return lines.filter(({ name }) => name === 'peerHeard').length;
}
