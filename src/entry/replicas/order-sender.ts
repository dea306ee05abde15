/**
 * Sends orders to engines, one at a time for each, and only while the sender may.
 */
import type { EngineReport } from '../../adapters/engines/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { isOrderStillDue, type OrderTask } from '../../controllers/replicas/index.js';
import type { EntryContext } from '../types.js';

/** Sends orders. */
export interface OrderSender {
  /** Sends `task` unless one is under way to its engine. `mayStillSend` is asked last of all. */
  send(task: OrderTask, mayStillSend: () => boolean): void;
  /** Resolves when no order is under way. */
  settle(): Promise<void>;
}

/** Where the reports that orders bring go. */
export type ReportSink = (report: EngineReport, askedAt: Milliseconds) => void;

/** A sender whose orders each end within `replicas.orderTimeoutMs`. */
export function createOrderSender(context: EntryContext, keepReport: ReportSink): OrderSender {
  const { clock, engines, logger, settings } = context;
  const { orderTimeoutMs } = settings.replicas;
  const underWay = new Map<string, Promise<void>>();

  /**
   * An engine that ignores numbers obeys an order whose basis is gone. It shows as a report that
   * names something else than the order was decided from. Reading it just before leaves the span of
   * one message in which that can still happen; the report after the order, and the serving gate,
   * catch what came of it.
   */
  async function isStillDue(task: OrderTask): Promise<boolean> {
    if (task.checksFence) return true;
    const askedAt = clock.now();
    const read = await engines.health(task.address, orderTimeoutMs);
    if (read.isErr() || read.value.instance !== task.instance) return false;
    keepReport(read.value, askedAt);
    return isOrderStillDue(task, read.value);
  }

  async function perform(task: OrderTask, mayStillSend: () => boolean): Promise<void> {
    if (!(await isStillDue(task)) || !mayStillSend()) return;
    const sentAt = clock.now();
    const answer = await engines.order(task.address, task.order, orderTimeoutMs);
    const { instance, order } = task;
    if (answer.isOk()) {
      if (answer.value.instance === instance) keepReport(answer.value, sentAt);
      return;
    }
    const { message: reason } = answer.error;
    logger.log('orderFailed', { instance, order: order.kind, fence: order.fence, reason });
  }

  return {
    send: (task, mayStillSend) => {
      const { instance } = task;
      if (underWay.has(instance)) return;
      const call = perform(task, mayStillSend).finally(() => underWay.delete(instance));
      underWay.set(instance, call);
    },
    settle: async () => {
      await Promise.all(underWay.values());
    },
  };
}
