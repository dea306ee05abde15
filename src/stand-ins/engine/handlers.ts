/**
 * What the HTTP routes of an engine ask of it.
 */
import type { ServerResponse } from 'node:http';
import type {
  CacheEventList,
  EngineRefusal,
  EngineReport,
  EngineRequest,
  Order,
} from '../../adapters/engines/index.js';
import type { Prefix } from '../../controllers/routing/index.js';
import type { EngineControl } from './control.js';
import type { EngineJournal } from './journal.js';

/** An engine behind its routes. A refusal that is undefined means that the engine complied. */
export interface EngineHandlers {
  report(): EngineReport;
  order(order: Order): EngineRefusal | undefined;
  complete(request: EngineRequest, response: ServerResponse): EngineRefusal | undefined;
  cancel: (attempt: string) => void;
  cacheEvents(since: number): CacheEventList;
  exportCache(hash: string): Prefix[] | undefined;
  importCache(prefixes: readonly Prefix[]): void;
  control: (change: EngineControl) => void;
  journal: () => EngineJournal;
}
