/**
 * What stands before every call at the platform stand-in: the faults and the call limits.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { Context } from 'hono';
import type { Milliseconds } from '../../core/clock/index.js';
import type { CallMeter, CallSort } from './call-rates.js';
import { takeHeldWrite, takeLostAnswer, type Faults } from './faults.js';

export type ObjectContext = Context<{ Bindings: HttpBindings }>;
export type ObjectHandler = (context: ObjectContext) => Response | Promise<Response>;

/** Wraps the handlers of the object API. */
export interface CallGuard {
  read(sort: CallSort, handler: ObjectHandler): ObjectHandler;
  write(sort: CallSort, handler: ObjectHandler): ObjectHandler;
  /**
   * Waits until `isMet`, at most `waitMs`. Returns the answer to give when an outage began
   * meanwhile.
   */
  waitUntil(
    context: ObjectContext,
    isMet: () => boolean,
    waitMs: Milliseconds,
  ): Promise<Response | undefined>;
  /** To be called after each change of objects or faults: wakes what waits for one. */
  wake(): void;
}

/** The answer of a call that never ends: its connection stays open until the stand-in stops. */
const NEVER = new Promise<Response>(() => undefined);
const OUTAGE_RETRY_SECONDS = '1';

/** A guard over `faults`, which may change at any time. */
export function createCallGuard(faults: Faults, meter: CallMeter): CallGuard {
  const waiting = new Set<() => void>();
  const wake = (): void => {
    for (const resume of [...waiting]) resume();
  };

  /** Ends at the next change or after `waitMs`. */
  const nextChange = (waitMs?: Milliseconds): Promise<void> =>
    new Promise((resolve) => {
      const resume = (): void => {
        clearTimeout(timer);
        waiting.delete(resume);
        resolve();
      };
      const timer = waitMs === undefined ? undefined : setTimeout(resume, waitMs);
      waiting.add(resume);
    });

  const enter = async (context: ObjectContext, sort: CallSort): Promise<Response | undefined> => {
    const waitMs = meter.admit(sort);
    const failed = answerOutage(context, faults);
    if (failed) return failed;
    if (waitMs > 0) return refuseTooMany(context, waitMs);
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    return undefined;
  };

  return {
    wake,
    read: (sort, handler) => async (context) => (await enter(context, sort)) ?? handler(context),
    write: (sort, handler) => async (context) => {
      const failed = await enter(context, sort);
      if (failed) return failed;
      if (takeHeldWrite(faults)) {
        const release = faults.releases;
        while (faults.releases === release) await nextChange();
      }
      const answer = await handler(context);
      return takeLostAnswer(faults) ? cutConnection(context) : answer;
    },
    waitUntil: async (context, isMet, waitMs) => {
      const deadline = performance.now() + waitMs;
      const { outgoing } = context.env;
      // A watch whose caller has gone would hold its timer, and with it the process, to the end of
      // its wait: a stop of the program would take as long as the longest watch.
      outgoing.once('close', wake);
      while (!isMet() && !outgoing.destroyed) {
        const leftMs = deadline - performance.now();
        if (leftMs <= 0) return undefined;
        await nextChange(leftMs);
        const failed = answerOutage(context, faults);
        if (failed) return failed;
      }
      return undefined;
    },
  };
}

function answerOutage(
  context: ObjectContext,
  faults: Faults,
): Response | Promise<Response> | undefined {
  switch (faults.outage) {
    case 'none':
      return undefined;
    case 'refuse':
      context.header('Retry-After', OUTAGE_RETRY_SECONDS);
      return context.json({ reason: 'outage' }, 503);
    case 'hang':
      return NEVER;
    case 'reset':
      return cutConnection(context);
  }
}

function refuseTooMany(context: ObjectContext, waitMs: Milliseconds): Response {
  context.header('Retry-After', String(Math.ceil(waitMs / 1_000)));
  return context.json({ reason: 'too many calls' }, 429);
}

function cutConnection(context: ObjectContext): Response {
  context.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
}
