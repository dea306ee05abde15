/**
 * Maintains this entry's share of the workspace limits on the board.
 */
import {
  createShareState,
  exportLimitDigest,
  importLimitDigest,
  limitDigestSchema,
  maxWatchMs,
  observeDemands,
  observeEntries,
  splitShares,
  type LimitedWorkspace,
  type EntryListStatus,
} from '../../controllers/limits/index.js';
import type { WorkspaceDemand } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { parseJson } from '../../core/json/index.js';
import type { EntryContext, Part } from '../types.js';

/** The limits part of an entry, with the functions that the digest exchange calls. */
export interface Limits extends Part {
  /** Returns the JSON text for the next digest, or `undefined` if there is nothing to send. */
  exportDigest(): string | undefined;
  /** Applies the digest of the entry `from`; invalid text is ignored. */
  importDigest(from: string, text: string): void;
}

/**
 * Creates the limits part of an entry.
 *
 * `platformConfirmedAt` returns when this entry itself last reached the platform.
 *
 * @example const limits = createLimits(context, () => configuration.platformAt()); limits.start();
 */
export function createLimits(
  context: EntryContext,
  platformConfirmedAt: () => Milliseconds,
): Limits {
  const { board, clock, identity, settings, writers } = context;
  const { splitEveryMs, ...options } = settings.limits;
  const state = createShareState(identity.name, identity.incarnation, options, clock.now());
  let timer: NodeJS.Timeout | undefined;
  let unsubscribe: (() => void) | undefined;

  const updateShares = (): void => {
    const now = clock.now();
    const workspaces = listWorkspaceLimits(context);
    observeEntries(state, getEntryListStatus(context, platformConfirmedAt()), now);
    observeDemands(state, workspaces, board.attempts.read().demands, listPeerDemands(context));
    writers.limits.write(splitShares(state, workspaces, now));
  };
  return {
    exportDigest: () => {
      const digest = exportLimitDigest(state, clock.now());
      // Remove lent shares from the board before the borrower can receive the digest.
      updateShares();
      return digest && JSON.stringify(digest);
    },
    importDigest: (from, text) => {
      const digest = limitDigestSchema.safeParse(parseJson(text));
      if (digest.success) importLimitDigest(state, from, digest.data, clock.now());
    },
    start: () => {
      timer = setInterval(updateShares, splitEveryMs);
      unsubscribe = board.configuration.subscribe(updateShares);
      updateShares();
    },
    stop: () => {
      clearInterval(timer);
      unsubscribe?.();
      return Promise.resolve();
    },
  };
}

function listWorkspaceLimits({ board }: EntryContext): LimitedWorkspace[] {
  const { workspaces } = board.configuration.read();
  return [...workspaces].map(([name, { value }]) => ({ name, limits: value.limits }));
}

function getEntryListStatus(
  { board, identity, settings }: EntryContext,
  platformConfirmedAt: Milliseconds,
): EntryListStatus {
  const { instances, revision } = board.fleet.read();
  const { watchMs, timeoutMs } = settings.platform;
  return {
    self: identity.name,
    listed: [...instances].filter(([, { role }]) => role === 'entry').map(([name]) => name),
    revision,
    platformConfirmedAt,
    peers: [...board.peers.read().values()],
    maxContactAgeMs: maxWatchMs(settings.limits.viewFreshMs, watchMs) + timeoutMs,
  };
}

function listPeerDemands({ board }: EntryContext): (readonly WorkspaceDemand[])[] {
  return [...board.peers.read().values()].map(({ demands }) => demands);
}
