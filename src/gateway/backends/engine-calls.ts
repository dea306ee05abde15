/**
 * Short HTTP calls to engines: orders and probes.
 */
import { Agent } from 'undici';
import type { Milliseconds } from '../../core/clock/index.js';
import {
  createBoundedConnector,
  isConnectionRefused,
  requireFinalResponse,
} from '../../core/sockets/index.js';
import { callWithTimeout } from '../../core/timeout/index.js';
import type { EngineCall, OrderCodec, OrderOutcome } from '../../ports/index.js';
import type { LinkMonitor } from '../links/link-monitor.js';
import type { DueOrder, GroupMember } from '../../controllers/groups/index.js';
import { flattenHeaders } from './headers.js';
import { readProbe, type ProbeOutcome } from './probe.js';
import type { ServerAvailability } from './server-availability.js';

/** `escalating`: from here, and if that fails, from other gateways as well. */
export type ProbeOrigin = 'here' | 'escalating' | 'all';

/** Sends orders and probes to engines, without retries. */
export interface EngineCalls {
  /** Whether the engine is to get no orders now, because it has named a cooldown. */
  isCoolingDown(engine: Pick<CalledEngine, 'id'>): boolean;
  order(due: Pick<DueOrder, 'to' | 'order'>): Promise<OrderOutcome>;
  probe(member: GroupMember, from?: ProbeOrigin): Promise<ProbeOutcome>;
  close(): Promise<void>;
}

const ORDER_TIMEOUT_MS: Milliseconds = 700;
/** Engines answer probes without a free slot, so a short timeout is enough. */
const PROBE_TIMEOUT_MS: Milliseconds = 300;
/** Far above what an engine answers to calls; the rest would be no answer. */
const MAX_BYTES_PER_SECOND = 2_097_152;
const KEEP_ALIVE_MS: Milliseconds = 2_000;

interface CallResponse {
  status: number;
  headers: string[];
  body: string;
}

/** The engine that a call is for. */
export type CalledEngine = Pick<GroupMember, 'id' | 'address' | 'startedAt'>;

interface EngineCallsOptions {
  codec: OrderCodec;
  onProbe: () => void;
  availability: ServerAvailability;
  links: Pick<LinkMonitor, 'probeFromAll'>;
}

export function createEngineCalls({
  codec,
  onProbe,
  availability,
  links,
}: EngineCallsOptions): EngineCalls {
  const agent = new Agent({
    connections: 4,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connect: createBoundedConnector(PROBE_TIMEOUT_MS, MAX_BYTES_PER_SECOND),
  });
  const limited = agent.compose(requireFinalResponse);
  const call = async (
    engine: CalledEngine,
    { method, path, headers, body }: EngineCall,
    timeoutMs: Milliseconds,
  ): Promise<CallResponse> => {
    const response = await callWithTimeout(timeoutMs, async (signal) => {
      const origin = `http://${engine.address}`;
      const request = { origin, method, path, headers, body: body ?? null, signal };
      const answer = await limited.request(request);
      return {
        status: answer.statusCode,
        headers: flattenHeaders(answer.headers),
        body: await answer.body.text(),
      };
    });
    availability.record(engine, codec.decodeNotice(response.status, response.headers));
    return response;
  };
  const isCoolingDown = ({ id }: Pick<CalledEngine, 'id'>): boolean =>
    availability.cooldownLeftMs(id) > 0;
  return {
    isCoolingDown,
    order: async ({ to, order }) => {
      try {
        const encoded = codec.encodeOrder(order, to.id);
        const { status } = await call(to, encoded, ORDER_TIMEOUT_MS);
        return codec.decodeOutcome(status);
      } catch (error) {
        const reason = error instanceof Error ? error.message : 'unknown error';
        if (!isConnectionRefused(error)) return { kind: 'unknown', reason };
        const { kind } = await links.probeFromAll(to);
        return kind === 'gone' ? { kind } : { kind: 'unknown', reason };
      }
    },
    probe: async (member, from = 'escalating') => {
      if (isCoolingDown(member)) return { kind: 'coolingDown' };
      if (from === 'all') return links.probeFromAll(member);
      onProbe();
      try {
        const report = codec.encodeReport(member.id);
        const { status, body } = await call(member, report, PROBE_TIMEOUT_MS);
        return readProbe(codec, member, status, body);
      } catch (error) {
        // The caller logs the outcome.
        const outcome: ProbeOutcome = { kind: isConnectionRefused(error) ? 'gone' : 'silent' };
        return from === 'here' ? outcome : links.probeFromAll(member);
      }
    },
    close: () => agent.destroy(),
  };
}
