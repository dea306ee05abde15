/**
 * Types shared by the parts of an entry.
 */
import type { Engines } from '../adapters/engines/types.js';
import type { Platform } from '../adapters/platform/types.js';
import type { Board, BoardWriters } from '../board/index.js';
import type { Clock } from '../core/clock/index.js';
import type { Logger } from '../core/logger/index.js';
import type { Random } from '../core/random/index.js';
import type { EntrySettings } from '../core/settings/index.js';

/** Identifies an entry; each start has a new incarnation. */
export interface EntryIdentity {
  name: string;
  incarnation: string;
  /** `host:port` for callers. */
  address: string;
  /** `host:port` for the other entries. */
  peerAddress: string;
  region: string;
  failureDomain: string;
}

/** Dependencies of the parts, created once per entry and passed to each. */
export interface EntryContext {
  identity: EntryIdentity;
  settings: EntrySettings;
  board: Board;
  writers: BoardWriters;
  clock: Clock;
  random: Random;
  logger: Logger;
  platform: Platform;
  engines: Engines;
}

/** A component of the entry with its own lifecycle, such as a loop that performs actions. */
export interface Part {
  start(): void;
  /** Stops its loops; resolves when none of its calls is in progress. */
  stop(): Promise<void>;
}
