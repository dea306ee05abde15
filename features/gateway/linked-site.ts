/**
 * A site in which each gateway reaches each backend server over a link of its own.
 */
import { waitFor } from '../support/waiting.js';
import { GatewayLinks, type LinkLoss } from './gateway-links.js';
import { Site, type GatewayPlan, type GatewayProcess } from './site.js';
import type { EngineOptions, EngineStandIn } from './stand-ins/engine.js';

export class LinkedSite extends Site {
  /** Where the gateways listen for each other. */
  peerAddresses: readonly string[] = [];
  /** By the gateway's position. */
  private readonly links: readonly GatewayLinks[];

  constructor(private readonly gatewayCount: number) {
    super();
    this.links = Array.from({ length: gatewayCount }, () => new GatewayLinks());
  }

  override async addServer(
    options: Partial<EngineOptions> & { id: string; service: string },
  ): Promise<EngineStandIn> {
    const advertised = async (address: string): Promise<string> => {
      for (const links of this.links) await links.add(address, options.service);
      return address;
    };
    return super.addServer({ ...options, advertised });
  }

  /** Starts all gateways and resolves when they are ready and have heard each other. */
  async startGateways(): Promise<void> {
    const plans: GatewayPlan[] = [];
    for (const links of this.links) {
      const plan = this.planGateway(await links.openView(this.store));
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
    for (const links of this.links.slice(0, count)) await links.cut(loss, service);
  }

  /** Begins or ends an outage of the links of one gateway. */
  async setOutage(gateway: number, outage: 'both' | 'none'): Promise<void> {
    await this.links[gateway]?.setOutage(outage);
  }

  async restore(): Promise<void> {
    for (const links of this.links) await links.restore();
  }

  override async close(): Promise<void> {
    await super.close();
    await Promise.all(this.links.map((links) => links.close()));
  }
}

function countHeard(lines: GatewayProcess['lines']): number {
  return lines.filter(({ name }) => name === 'peerHeard').length;
}
