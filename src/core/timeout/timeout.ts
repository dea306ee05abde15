/**
 * Timeouts for asynchronous calls, independent of those of the underlying library.
 */
import type { Milliseconds } from '../clock/index.js';

/**
 * Settles like `call`, or rejects with a `TimeoutError` after `ms` or when `parentSignal` aborts. The
 * signal passed to `call` is aborted at the same time.
 *
 * Rejects without waiting for `call`, because undici handles an aborted signal only once connected:
 * a call to an unresponsive address would otherwise last until the connect timeout.
 */
export async function callWithTimeout<Value>(
  ms: Milliseconds,
  call: (signal: AbortSignal) => Promise<Value>,
  parentSignal?: AbortSignal,
): Promise<Value> {
  const timeout = new AbortController();
  const signal = parentSignal ? AbortSignal.any([parentSignal, timeout.signal]) : timeout.signal;
  let cleanUp = (): void => undefined;
  const expiry = new Promise<never>((_, reject) => {
    const rejectWithTimeout = (): void => {
      reject(new DOMException('no answer in time', 'TimeoutError'));
    };
    const timer = setTimeout(() => {
      timeout.abort();
      rejectWithTimeout();
    }, ms);
    parentSignal?.addEventListener('abort', rejectWithTimeout, { once: true });
    cleanUp = () => {
      clearTimeout(timer);
      // The parent signal may outlive many calls, whose listeners would otherwise accumulate.
      parentSignal?.removeEventListener('abort', rejectWithTimeout);
    };
  });
  try {
    return await Promise.race([call(signal), expiry]);
  } finally {
    cleanUp();
  }
}
