/**
 * Short calls to engines: orders and reports.
 */
import { Agent } from 'undici';
import type { Milliseconds } from '../../core/clock/index.js';
import { callWithin } from '../../core/timeout/index.js';
import type { EngineCall, OrderDialect, OrderOutcome } from '../../ports/index.js';
import type { DueOrder, GroupMember } from '../../controllers/groups/index.js';

/** What a probe showed of an engine. */
export type ProbeOutcome =
  | { kind: 'answers'; pace: number }
  | { kind: 'silent' }
  /** Nothing listens there, or another backend server does, or another life of this one. */
  | { kind: 'gone' };

/** Orders and probes of engines. No call is repeated here. */
export interface EngineCalls {
  order(due: DueOrder): Promise<OrderOutcome>;
  probe(member: GroupMember): Promise<ProbeOutcome>;
  close(): Promise<void>;
}

/** An engine answers an order within some milliseconds; one that does not in this time won't. */
const ORDER_TIMEOUT_MS: Milliseconds = 700;
/** Reports need no slot. The longest ways of a region and a busy entry stay well below. */
const PROBE_TIMEOUT_MS: Milliseconds = 300;
/** Orders to one engine come in quick succession, or not at all. */
const KEPT_MS: Milliseconds = 2_000;
const OTHER_INSTANCE_STATUS = 421;

interface CallAnswer {
  status: number;
  body: string;
}

interface EngineCallsOptions {
  dialect: OrderDialect;
  onProbe: () => void;
}

export function createEngineCalls({ dialect, onProbe }: EngineCallsOptions): EngineCalls {
  const agent = new Agent({
    connections: 4,
    pipelining: 1,
    keepAliveTimeout: KEPT_MS,
    connect: { timeout: PROBE_TIMEOUT_MS },
  });
  const call = (
    address: string,
    { method, path, headers, body }: EngineCall,
    timeoutMs: Milliseconds,
  ): Promise<CallAnswer> =>
    callWithin(timeoutMs, async (signal) => {
      const origin = `http://${address}`;
      const request = { origin, method, path, headers, body: body ?? null, signal };
      const answer = await agent.request(request);
      return { status: answer.statusCode, body: await answer.body.text() };
    });
  return {
    order: async ({ to, order }) => {
      try {
        const encoded = dialect.encodeOrder(order, to.id);
        const { status } = await call(to.address, encoded, ORDER_TIMEOUT_MS);
        return dialect.decodeOrder(status);
      } catch (error) {
        return isRefused(error)
          ? { kind: 'gone' }
          : { kind: 'unknown', reason: error instanceof Error ? error.message : 'unknown error' };
      }
    },
    probe: async ({ id, address, startedAt }) => {
      onProbe();
      try {
        const { status, body } = await call(address, dialect.encodeReport(id), PROBE_TIMEOUT_MS);
        if (status === OTHER_INSTANCE_STATUS) return { kind: 'gone' };
        const report = dialect.decodeReport(body);
        const isOther = report?.startedAt !== undefined && report.startedAt !== startedAt;
        if (isOther && startedAt !== undefined) return { kind: 'gone' };
        return { kind: 'answers', pace: report?.pace ?? 1 };
      } catch (error) {
        // The reason is not lost: the caller logs what it makes of the outcome.
        return { kind: isRefused(error) ? 'gone' : 'silent' };
      }
    },
    close: () => agent.destroy(),
  };
}

/** Nothing listens at the address: the process has ended. */
function isRefused(error: unknown): boolean {
  return error instanceof Error && (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}
