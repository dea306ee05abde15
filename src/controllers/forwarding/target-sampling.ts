/**
 * Which targets are compared for one request when what is known of them is late.
 *
 * Pattern: in a large fleet the news of what others have under way come over hubs and are about as old
 * as a request lasts. Where each gateway compares all targets, all of them find the same one to have
 * the least and send there until the next news, and its queue makes most answers late while the others
 * stand idle. Of two targets drawn at random the better one is nearly as good as the best of all with
 * fresh news, gateways that know the same choose differently, and a choice costs the same whatever the
 * number of targets.
 */
import type { Random } from '../../core/random/index.js';
import type { Target, TargetList } from './directory.js';

/** Drawn of those in the own failure domain, and as many of all others. */
const DRAWN = 2;
/** Draws for each one wanted: a target may come twice, or may not be chosen now. */
const TRIES_EACH = 3;

/** What is known of a target that can be chosen; undefined when it can't. */
export type TargetReview<State> = (target: Target) => State | undefined;

/** All that can be chosen. */
export function reviewAll<State>({ near, far }: TargetList, review: TargetReview<State>): State[] {
  return [...near, ...far].flatMap((target) => review(target) ?? []);
}

/** Some of those that can be chosen, drawn at random; all of them when none was hit. */
export function drawTargets<State>(
  targets: TargetList,
  review: TargetReview<State>,
  random: Random,
): State[] {
  const { near, far } = targets;
  const drawn = [...drawSome(near, review, random), ...drawSome(far, review, random)];
  return drawn.length > 0 ? drawn : reviewAll(targets, review);
}

function drawSome<State>(
  targets: readonly Target[],
  review: TargetReview<State>,
  random: Random,
): State[] {
  if (targets.length <= DRAWN) return targets.flatMap((target) => review(target) ?? []);
  const drawn = new Map<Target, State>();
  for (let tries = DRAWN * TRIES_EACH; tries > 0 && drawn.size < DRAWN; tries -= 1) {
    const target = targets[random.below(targets.length)];
    if (target === undefined || drawn.has(target)) continue;
    const state = review(target);
    if (state !== undefined) drawn.set(target, state);
  }
  return [...drawn.values()];
}
