/**
 * The links of one gateway to all backend servers, which can be cut without cutting those of others.
 *
 * The gateway reads the store through a view that names its own links as the servers' addresses. It
 * has to be the only one in its failure domain, since gateways of one domain pass such entries on.
 */
import { createProxy, type Proxy, type ProxyControl } from '../../src/stand-ins/proxy/index.js';
import { nextAddress } from '../support/ports.js';
import type { StoreStandIn } from './stand-ins/store.js';

/** How a gateway loses a link. */
export type LinkLoss =
  /** Bytes are swallowed, also on new connections. */
  | 'silent'
  /** Connections are reset and new ones refused. */
  | 'reset'
  /** New connections are refused; old ones go on. */
  | 'refused';

interface ServerLink {
  /** The address in the server's entry. */
  target: string;
  service: string;
  proxy: Proxy;
}

const LOSSES: Readonly<Record<LinkLoss, ProxyControl>> = {
  silent: { cut: 'both' },
  reset: { refuse: true, resetAll: true },
  refused: { refuse: true },
};

export class GatewayLinks {
  private readonly links: ServerLink[] = [];

  /** Opens a link to a server before its entry is written. */
  async add(target: string, service: string): Promise<void> {
    const opened = await createProxy({ listen: nextAddress(), target });
    this.links.push({ target, service, proxy: opened._unsafeUnwrap() });
  }

  /** Resolves with the address of the store as this gateway sees it. */
  openView(store: StoreStandIn): Promise<string> {
    return store.openView((text) =>
      this.links.reduce(
        (translated, { target, proxy }) =>
          translated.replaceAll(`"${target}"`, `"${proxy.address}"`),
        text,
      ),
    );
  }

  /** Cuts the links to the servers of `service`, or to all servers. */
  async cut(loss: LinkLoss, service?: string): Promise<void> {
    const meant = this.links.filter((link) => !service || link.service === service);
    for (const { proxy } of meant) (await proxy.control(LOSSES[loss]))._unsafeUnwrap();
  }

  /** While they are out, the links deliver nothing and lose nothing. */
  async setOutage(outage: 'both' | 'none'): Promise<void> {
    for (const { proxy } of this.links) (await proxy.control({ outage }))._unsafeUnwrap();
  }

  async restore(): Promise<void> {
    for (const { proxy } of this.links)
      (await proxy.control({ cut: 'none', refuse: false }))._unsafeUnwrap();
  }

  async close(): Promise<void> {
    await Promise.all(this.links.map(({ proxy }) => proxy.stop()));
  }
}
