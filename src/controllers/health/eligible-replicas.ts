/**
 * The serving gate's answer, kept until a section that it rests on changes or time takes it away.
 */
import type { Board } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Candidate } from '../routing/types.js';
import { indexEligibleReplicas, type EligibleIndex } from './gate.js';

/** The replicas that may be sent requests, at the cost of a look-up for most requests. */
export interface EligibleReplicas {
  /** Those of `model`; empty when nothing is in service. */
  list(model: string, now: Milliseconds): readonly Candidate[];
  /** All models'. */
  index(now: Milliseconds): EligibleIndex;
}

const NONE: readonly Candidate[] = [];

/**
 * Keeps the index of `board`. It is made again at the first call after a change of `plans`,
 * `fleet`, `health` or `load`, and when a member may have been unheard for `freshMs`.
 *
 * @example const eligible = createEligibleReplicas(board, 2_000); eligible.list('m', clock.now());
 */
export function createEligibleReplicas(
  board: Pick<Board, 'plans' | 'fleet' | 'health' | 'load'>,
  freshMs: Milliseconds,
): EligibleReplicas {
  const { plans, fleet, health, load } = board;
  const sections = [plans, fleet, health, load];
  let kept: EligibleIndex | undefined;
  let keptVersions: readonly number[] = [];

  function index(now: Milliseconds): EligibleIndex {
    const isCurrent = sections.every((section, at) => section.version() === keptVersions[at]);
    if (kept !== undefined && isCurrent && now < kept.validUntil) return kept;
    const view = {
      plans: plans.read(),
      fleet: fleet.read(),
      health: health.read(),
      load: load.read(),
    };
    kept = indexEligibleReplicas(view, now, freshMs);
    keptVersions = sections.map((section) => section.version());
    return kept;
  }

  return { index, list: (model, now) => index(now).byModel.get(model) ?? NONE };
}
