/**
 * Checks whether a backend server answers over a new connection.
 */
import { Agent } from 'undici';
import type { Milliseconds } from '../../core/clock/index.js';
import { callWithTimeout } from '../../core/timeout/index.js';
import type { BackendServer, OrderCodec } from '../../ports/index.js';
import { isConnectionRefused, readProbe, type ProbeOutcome } from '../backends/probe.js';

/** Checks servers without reusing connections, because old ones may outlive a cut. */
export interface ServerChecks {
  check(server: CheckedServer, timeoutMs?: Milliseconds): Promise<CheckOutcome>;
  close(): Promise<void>;
}

export type CheckOutcome = Exclude<ProbeOutcome, { kind: 'coolingDown' | 'unclear' }>;
export type CheckedServer = Pick<BackendServer, 'id' | 'address' | 'startedAt'>;

/** Servers answer checks without a free slot. */
const CHECK_TIMEOUT_MS: Milliseconds = 300;

export function createServerChecks(codec: OrderCodec, onProbe: () => void): ServerChecks {
  const agent = new Agent({ pipelining: 0, connect: { timeout: CHECK_TIMEOUT_MS } });
  return {
    check: async (server, timeoutMs = CHECK_TIMEOUT_MS) => {
      onProbe();
      const { method, path, headers } = codec.encodeReport(server.id);
      try {
        return await callWithTimeout(timeoutMs, async (signal) => {
          const origin = `http://${server.address}`;
          const answer = await agent.request({
            origin,
            method,
            path,
            headers,
            signal,
            reset: true,
          });
          return readProbe(codec, server, answer.statusCode, await answer.body.text());
        });
      } catch (error) {
        return { kind: isConnectionRefused(error) ? 'gone' : 'silent' };
      }
    },
    close: () => agent.destroy(),
  };
}
