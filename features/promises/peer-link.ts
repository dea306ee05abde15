/**
 * A link between one entry and the others that can be cut.
 *
 * The entry has to be told the proxy's address before it listens, and the proxy the entry's, so the
 * entry's port is chosen here rather than by the entry.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { createProxy, type Proxy } from '../../src/stand-ins/proxy/index.js';

/** A proxy before an address at which an entry is about to listen. */
export interface PeerLink {
  proxy: Proxy;
  listen: string;
}

/** Opens a link to a port that was free a moment ago. */
export async function openPeerLink(): Promise<PeerLink> {
  const probe = createServer().listen(0, '127.0.0.1');
  await once(probe, 'listening');
  const listen = `127.0.0.1:${(probe.address() as AddressInfo).port}`;
  probe.close();
  await once(probe, 'close');
  const proxy = await createProxy({ listen: '127.0.0.1:0', target: listen });
  return { proxy: proxy._unsafeUnwrap(), listen };
}
