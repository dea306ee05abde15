/**
 * Log lines for what could not be read in the store's answers.
 */
import type { Logger } from '../../core/logger/index.js';
import type { DroppedItems, StoreDialect } from '../../ports/index.js';

/** `dialect` with a log line for each answer that held items without a readable name. */
export function reportDropped(dialect: StoreDialect, logger: Logger): StoreDialect {
  const report = <Answer extends DroppedItems>(answer: Answer | undefined): Answer | undefined => {
    const items = answer?.dropped ?? 0;
    if (items > 0) logger.log('storeItemsDropped', { items });
    return answer;
  };
  return {
    ...dialect,
    decodePage: (body) => report(dialect.decodePage(body)),
    decodeChanges: (body) => report(dialect.decodeChanges(body)),
  };
}
