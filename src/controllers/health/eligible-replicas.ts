/**
 * Caches the index of eligible replicas until a board section that it depends on changes or the
 * index expires.
 */
import type { Board } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Candidate } from '../routing/types.js';
import { indexEligibleReplicas, type EligibleIndex } from './eligibility.js';

/** The replicas that may be sent requests; most calls are answered from a cached index. */
export interface EligibleReplicas {
  /** Lists the eligible replicas of `model`; empty if there are none. */
  list(model: string, now: Milliseconds): readonly Candidate[];
  /** Returns the index of the eligible replicas of all models. */
  index(now: Milliseconds): EligibleIndex;
}

const NO_CANDIDATES: readonly Candidate[] = [];

/**
 * Creates the cache for `board`. The index is rebuilt on the first call after `plans`, `fleet`,
 * `health` or `load` has changed, or when a member's report may be older than `freshMs`.
 *
 * @example const eligible = createEligibleReplicas(board, 2_000); eligible.list('m', clock.now());
 */
export function createEligibleReplicas(
  board: Pick<Board, 'plans' | 'fleet' | 'health' | 'load'>,
  freshMs: Milliseconds,
): EligibleReplicas {
  const { plans, fleet, health, load } = board;
  const sections = [plans, fleet, health, load];
  let cachedIndex: EligibleIndex | undefined;
  let cachedVersions: readonly number[] = [];

  function index(now: Milliseconds): EligibleIndex {
    const isCurrent = sections.every((section, at) => section.version() === cachedVersions[at]);
    if (cachedIndex !== undefined && isCurrent && now < cachedIndex.validUntil) return cachedIndex;
    const view = {
      plans: plans.read(),
      fleet: fleet.read(),
      health: health.read(),
      load: load.read(),
    };
    cachedIndex = indexEligibleReplicas(view, now, freshMs);
    cachedVersions = sections.map((section) => section.version());
    return cachedIndex;
  }

  return { index, list: (model, now) => index(now).byModel.get(model) ?? NO_CANDIDATES };
}
