/**
 * Checks whether a backend server answers over a new connection, unless it is in a cooldown.
 */
import { Agent } from 'undici';
import type { Milliseconds } from '../../core/clock/index.js';
import {
  createBoundedConnector,
  isConnectionRefused,
  requireFinalResponse,
} from '../../core/sockets/index.js';
import { callWithTimeout } from '../../core/timeout/index.js';
import type { BackendServer, OrderCodec } from '../../ports/index.js';
import { flattenHeaders } from '../backends/headers.js';
import { readProbe, type ProbeOutcome } from '../backends/probe.js';
import type { ServerAvailability } from '../backends/server-availability.js';

/** Checks servers without reusing connections, because old ones may outlive a cut. */
export interface ServerChecks {
  check(server: CheckedServer, timeoutMs?: Milliseconds): Promise<CheckOutcome>;
  close(): Promise<void>;
}

export type CheckOutcome = Exclude<ProbeOutcome, { kind: 'unclear' }>;
export type CheckedServer = Pick<BackendServer, 'id' | 'address' | 'startedAt'>;

/** Servers answer checks without a free slot. */
const CHECK_TIMEOUT_MS: Milliseconds = 300;

/** Far above what a server answers to a check; the rest would be no answer. */
const MAX_BYTES_PER_SECOND = 2_097_152;

interface ServerChecksOptions {
  codec: OrderCodec;
  availability: ServerAvailability;
  onProbe: () => void;
}

export function createServerChecks({
  codec,
  availability,
  onProbe,
}: ServerChecksOptions): ServerChecks {
  const connect = createBoundedConnector(CHECK_TIMEOUT_MS, MAX_BYTES_PER_SECOND);
  const agent = new Agent({ pipelining: 0, connect });
  const limited = agent.compose(requireFinalResponse);
  return {
    check: async (server, timeoutMs = CHECK_TIMEOUT_MS) => {
      if (availability.cooldownLeftMs(server.id) > 0) return { kind: 'coolingDown' };
      onProbe();
      const { method, path, headers } = codec.encodeReport(server.id);
      try {
        return await callWithTimeout(timeoutMs, async (signal) => {
          const origin = `http://${server.address}`;
          const answer = await limited.request({
            origin,
            method,
            path,
            headers,
            signal,
            reset: true,
          });
          const { statusCode } = answer;
          const notice = codec.decodeNotice(statusCode, flattenHeaders(answer.headers));
          availability.record(server, notice);
          return readProbe(codec, server, statusCode, await answer.body.text());
        });
      } catch (error) {
        return { kind: isConnectionRefused(error) ? 'gone' : 'silent' };
      }
    },
    close: () => agent.destroy(),
  };
}
