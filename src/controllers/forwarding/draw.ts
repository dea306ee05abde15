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

/** Some of `targets` that are eligible, drawn at random; all that are when none was hit. */
export function drawTargets(
  { near, far }: TargetList,
  isEligible: (target: Target) => boolean,
  random: Random,
): Target[] {
  const drawn = [...drawSome(near, isEligible, random), ...drawSome(far, isEligible, random)];
  return drawn.length > 0 ? drawn : [...near, ...far].filter(isEligible);
}

function drawSome(
  targets: readonly Target[],
  isEligible: (target: Target) => boolean,
  random: Random,
): Target[] {
  if (targets.length <= DRAWN) return targets.filter(isEligible);
  const drawn = new Set<Target>();
  for (let tries = DRAWN * TRIES_EACH; tries > 0 && drawn.size < DRAWN; tries -= 1) {
    const target = targets[random.below(targets.length)];
    if (target !== undefined && isEligible(target)) drawn.add(target);
  }
  return [...drawn];
}
