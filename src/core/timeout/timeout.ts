/**
 * Bounding the time of a call, whatever the library below does with its own timeouts.
 */
import type { Milliseconds } from '../clock/index.js';

/**
 * Settles as `call` does, or rejects with `TimeoutError` after `ms`. `call` gets a signal that ends
 * it then.
 *
 * Guards against calls that wait for a connection: undici notices an aborted signal only once the
 * connection is made, so that calls to a silent address would take its connect timeout of seconds.
 */
export async function callWithin<Value>(
  ms: Milliseconds,
  call: (signal: AbortSignal) => Promise<Value>,
  outer?: AbortSignal,
): Promise<Value> {
  const timeout = new AbortController();
  const signal = outer ? AbortSignal.any([outer, timeout.signal]) : timeout.signal;
  let stopWaiting = (): void => undefined;
  const expiry = new Promise<never>((_, reject) => {
    const end = (): void => {
      reject(new DOMException('no answer in time', 'TimeoutError'));
    };
    const timer = setTimeout(() => {
      timeout.abort();
      end();
    }, ms);
    outer?.addEventListener('abort', end, { once: true });
    stopWaiting = () => {
      clearTimeout(timer);
      // A signal may outlive many calls, which would otherwise all stay with it.
      outer?.removeEventListener('abort', end);
    };
  });
  try {
    return await Promise.race([call(signal), expiry]);
  } finally {
    stopWaiting();
  }
}
