/**
 * The tRPC link of calls between our own processes.
 */
import { httpLink, type HTTPLinkOptions, type TRPCLink } from '@trpc/client';
import type { AnyRouter } from '@trpc/server';
import type { Dispatcher } from 'undici';

/** Request line and headers beside the address, in bytes. */
const REQUEST_OVERHEAD_BYTES = 110;

/**
 * A link to `address` (`host:port`). undici's `request` in place of `fetch`, whose headers for
 * browsers would double the size of a digest.
 */
export function createRpcLink<Router extends AnyRouter>(
  address: string,
  dispatcher: Dispatcher,
  options: Partial<HTTPLinkOptions<Router['_def']['_config']['$types']>> = {},
  /** Called with the bytes of each request, its headers by estimate. */
  onSent?: (bytes: number) => void,
): TRPCLink<Router> {
  return httpLink<Router>({
    ...options,
    url: `http://${address}`,
    fetch: async (input, init) => {
      // tRPC gives the address as text.
      const url = new URL(input as string);
      const sent = typeof init?.body === 'string' ? init.body : null;
      onSent?.(REQUEST_OVERHEAD_BYTES + url.href.length + (sent?.length ?? 0));
      const { statusCode, body } = await dispatcher.request({
        origin: url.origin,
        path: url.pathname + url.search,
        method: init?.method === 'POST' ? 'POST' : 'GET',
        headers: { 'content-type': 'application/json' },
        body: sent,
        signal: init?.signal ?? null,
      });
      const text = await body.text();
      return {
        ok: statusCode < 300,
        status: statusCode,
        statusText: '',
        json: () => Promise.resolve(JSON.parse(text) as unknown),
      };
    },
  } as HTTPLinkOptions<Router['_def']['_config']['$types']>);
}
