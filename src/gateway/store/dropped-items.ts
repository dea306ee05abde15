/**
 * Logs items of the store's answers that could not be read.
 */
import type { Logger } from '../../core/logger/index.js';
import type { DroppedItems, StoreDialect } from '../../ports/index.js';

/** Wraps `dialect` to log each answer that contains items without a readable name. */
export function logDroppedItems(dialect: StoreDialect, logger: Logger): StoreDialect {
  const logDropped = <Answer extends DroppedItems>(
    answer: Answer | undefined,
  ): Answer | undefined => {
    const items = answer?.dropped ?? 0;
    if (items > 0) logger.log('storeItemsDropped', { items });
    return answer;
  };
  return {
    ...dialect,
    decodePage: (body) => logDropped(dialect.decodePage(body)),
    decodeChanges: (body) => logDropped(dialect.decodeChanges(body)),
  };
}
