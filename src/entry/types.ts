/**
 * What the parts of one entry are given when the entry is put together.
 */
import type { Engines } from '../adapters/engines/types.js';
import type { Platform } from '../adapters/platform/types.js';
import type { Board, BoardWriters } from '../board/index.js';
import type { Clock } from '../core/clock/index.js';
import type { Logger } from '../core/logger/index.js';
import type { Random } from '../core/random/index.js';
import type { EntrySettings } from '../core/settings/index.js';

/** Which entry this is; a restart has another incarnation. */
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

/** Built once at the rim and passed to every part. */
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

/** A part of the entry that runs on its own: a loop that feeds a decision and performs its actions. */
export interface Part {
  start(): void;
  /** Ends its loops; resolves when none of its calls is under way. */
  stop(): Promise<void>;
}
