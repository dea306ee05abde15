/**
 * A link between one entry and the others that can be cut.
 *
 * The entry has to be told the proxy's address before it listens, and the proxy the entry's, so the
 * entry's port is chosen here rather than by the entry.
 */
import { createProxy, type Proxy } from '../../src/stand-ins/proxy/index.js';
import { nextAddress } from '../support/ports.js';

/** A proxy before an address at which an entry is about to listen. */
export interface PeerLink {
  proxy: Proxy;
  listen: string;
}

/** Opens a link to an address that is kept for the entry. */
export async function openPeerLink(): Promise<PeerLink> {
  const listen = nextAddress();
  const proxy = await createProxy({ listen: nextAddress(), target: listen });
  return { proxy: proxy._unsafeUnwrap(), listen };
}
