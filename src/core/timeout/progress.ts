/**
 * Timeouts of calls whose answers may be large: what counts is that bytes keep coming.
 */
import type { Milliseconds } from '../clock/index.js';

/** Limits of one call. */
export interface ProgressLimits {
  /** Time until the first bytes. */
  firstMs: Milliseconds;
  /** Time without further bytes. */
  idleMs: Milliseconds;
  /** Time for the whole call after the first bytes. */
  wholeMs: Milliseconds;
}

/**
 * Settles like `call`, or rejects with a `TimeoutError` when a limit is exceeded or `parentSignal`
 * aborts. `call` reports each part of the answer to `onProgress`; its signal is aborted at the same time.
 */
export async function callWhileProgressing<Value>(
  { firstMs, idleMs, wholeMs }: ProgressLimits,
  call: (signal: AbortSignal, onProgress: () => void) => Promise<Value>,
  parentSignal?: AbortSignal,
): Promise<Value> {
  const timeout = new AbortController();
  const signal = parentSignal ? AbortSignal.any([parentSignal, timeout.signal]) : timeout.signal;
  let timer: NodeJS.Timeout | undefined;
  let wholeTimer: NodeJS.Timeout | undefined;
  let rejectWithTimeout = (): void => undefined;
  const expire = (): void => {
    timeout.abort();
    rejectWithTimeout();
  };
  const expiry = new Promise<never>((_, reject) => {
    rejectWithTimeout = () => {
      reject(new DOMException('no answer in time', 'TimeoutError'));
    };
    timer = setTimeout(expire, firstMs);
    // The parent signal may outlive many calls, whose listeners would otherwise accumulate.
    parentSignal?.addEventListener('abort', rejectWithTimeout, { once: true });
  });
  const onProgress = (): void => {
    clearTimeout(timer);
    timer = setTimeout(expire, idleMs);
    wholeTimer ??= setTimeout(expire, wholeMs);
  };
  try {
    return await Promise.race([call(signal, onProgress), expiry]);
  } finally {
    clearTimeout(timer);
    clearTimeout(wholeTimer);
    parentSignal?.removeEventListener('abort', rejectWithTimeout);
  }
}
