/**
 * Sends orders to engines, one at a time per engine, and only while this entry is allowed to.
 */
import type { EngineReport } from '../../adapters/engines/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { isOrderStillDue, type OrderTask } from '../../controllers/replicas/index.js';
import type { EntryContext } from '../types.js';

export interface OrderSender {
  /** Sends `task` unless its engine has a pending order. Checks `mayStillSend` last. */
  send(task: OrderTask, mayStillSend: () => boolean): void;
  /** Resolves when no order is pending. */
  whenIdle(): Promise<void>;
}

/** Handles a report that an engine returned; it was requested at `askedAt`. */
export type ReportHandler = (report: EngineReport, askedAt: Milliseconds) => void;

/** Creates a sender. Each order has a timeout of `replicas.orderTimeoutMs`. */
export function createOrderSender(context: EntryContext, keepReport: ReportHandler): OrderSender {
  const { clock, engines, logger, settings } = context;
  const { orderTimeoutMs } = settings.replicas;
  const pendingOrders = new Map<string, Promise<void>>();

  /**
   * Checks that the engine's state still matches the one that the order was based on.
   *
   * An engine that does not check fencing tokens would obey an outdated order. Reading its report
   * just before sending narrows the race to one message; the report after the order and the check
   * for eligible replicas detect what remains.
   */
  async function isStillDue(task: OrderTask): Promise<boolean> {
    if (task.checksFence) return true;
    const askedAt = clock.now();
    const read = await engines.health(task.address, orderTimeoutMs);
    if (read.isErr() || read.value.instance !== task.instance) return false;
    keepReport(read.value, askedAt);
    return isOrderStillDue(task, read.value);
  }

  async function sendOrder(task: OrderTask, mayStillSend: () => boolean): Promise<void> {
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
      if (pendingOrders.has(instance)) return;
      const pendingOrder = sendOrder(task, mayStillSend).finally(() =>
        pendingOrders.delete(instance),
      );
      pendingOrders.set(instance, pendingOrder);
    },
    whenIdle: async () => {
      await Promise.all(pendingOrders.values());
    },
  };
}
