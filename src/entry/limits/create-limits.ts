/**
 * Keeps this entry's share of the workspaces' limits on the board.
 */
import {
  createShareState,
  exportLimitDigest,
  importLimitDigest,
  limitDigestSchema,
  listWatchMs,
  observeDemands,
  observeEntries,
  splitShares,
  type LimitedWorkspace,
  type ListNews,
} from '../../controllers/limits/index.js';
import type { WorkspaceDemand } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { parseJson } from '../../core/json/index.js';
import type { EntryContext, Part } from '../types.js';

/** The limits part, and what the exchange of digests needs of it. */
export interface Limits extends Part {
  /** JSON text for the next round of digests; `undefined` when there is nothing to tell. */
  exportDigest(): string | undefined;
  /** Takes in what the entry `from` told; text that is not valid is ignored. */
  importDigest(from: string, text: string): void;
}

/**
 * The limits part of an entry.
 *
 * `platformAt` says when this entry itself last reached the platform.
 *
 * @example const limits = createLimits(context, () => configuration.platformAt()); limits.start();
 */
export function createLimits(context: EntryContext, platformAt: () => Milliseconds): Limits {
  const { board, clock, identity, settings, writers } = context;
  const { splitEveryMs, ...options } = settings.limits;
  const state = createShareState(identity.name, identity.incarnation, options, clock.now());
  let timer: NodeJS.Timeout | undefined;
  let unsubscribe: (() => void) | undefined;

  const split = (): void => {
    const now = clock.now();
    const workspaces = listWorkspaces(context);
    observeEntries(state, listNews(context, platformAt()), now);
    observeDemands(state, workspaces, board.attempts.read().demands, listPeerDemands(context));
    writers.limits.write(splitShares(state, workspaces, now));
  };
  return {
    exportDigest: () => {
      const digest = exportLimitDigest(state, clock.now());
      // What was lent must be off the board before the borrower can hear of it.
      split();
      return digest && JSON.stringify(digest);
    },
    importDigest: (from, text) => {
      const digest = limitDigestSchema.safeParse(parseJson(text));
      if (digest.success) importLimitDigest(state, from, digest.data, clock.now());
    },
    start: () => {
      timer = setInterval(split, splitEveryMs);
      unsubscribe = board.configuration.subscribe(split);
      split();
    },
    stop: () => {
      clearInterval(timer);
      unsubscribe?.();
      return Promise.resolve();
    },
  };
}

function listWorkspaces({ board }: EntryContext): LimitedWorkspace[] {
  const { workspaces } = board.configuration.read();
  return [...workspaces].map(([name, { value }]) => ({ name, limits: value.limits }));
}

function listNews({ board, identity, settings }: EntryContext, platformAt: Milliseconds): ListNews {
  const { instances, revision } = board.fleet.read();
  const { watchMs, timeoutMs } = settings.platform;
  return {
    self: identity.name,
    listed: [...instances].filter(([, { role }]) => role === 'entry').map(([name]) => name),
    revision,
    platformAt,
    peers: [...board.peers.read().values()],
    contactMs: listWatchMs(settings.limits.viewFreshMs, watchMs) + timeoutMs,
  };
}

function listPeerDemands({ board }: EntryContext): (readonly WorkspaceDemand[])[] {
  return [...board.peers.read().values()].map(({ demands }) => demands);
}
