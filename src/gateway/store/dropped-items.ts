/**
 * Logs items of the store's answers that could not be read.
 */
import type { Logger } from '../../core/logger/index.js';
import type { DroppedItemCount, StoreCodec } from '../../ports/index.js';

/** Wraps `codec` to log each answer that contains items without a readable name. */
export function logDroppedItems(codec: StoreCodec, logger: Logger): StoreCodec {
  const logDropped = <Answer extends DroppedItemCount>(
    answer: Answer | undefined,
  ): Answer | undefined => {
    const items = answer?.dropped ?? 0;
    if (items > 0) logger.log('storeItemsDropped', { items });
    return answer;
  };
  return {
    ...codec,
    decodePage: (body) => logDropped(codec.decodePage(body)),
    decodeChanges: (body) => logDropped(codec.decodeChanges(body)),
  };
}
