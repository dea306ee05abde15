/**
 * Samples the targets that are considered for one request.
 *
 * In a large fleet, a sample costs the same for any number of targets, and gateways whose load reports
 * are late do not all consider the same ones.
 */
import type { Random } from '../../core/random/index.js';
import type { Target, TargetList } from './directory.js';

/** Targets sampled from the own failure domain, and again from all others. */
const SAMPLES_PER_GROUP = 2;
/** Random draws per wanted sample; a draw may hit a duplicate or an unavailable target. */
const TRIES_PER_SAMPLE = 3;

/** Returns the state of a target, or undefined when the target is unavailable. */
export type TargetEvaluator<State> = (target: Target) => State | undefined;

/** Evaluates all targets and returns the states of the available ones. */
export function evaluateAll<State>(
  { near, far }: TargetList,
  evaluate: TargetEvaluator<State>,
): State[] {
  return [...near, ...far].flatMap((target) => evaluate(target) ?? []);
}

/** Evaluates a random sample of targets; falls back to all targets when the sample is empty. */
export function sampleTargets<State>(
  targets: TargetList,
  evaluate: TargetEvaluator<State>,
  random: Random,
): State[] {
  const { near, far } = targets;
  const sampled = [...sampleGroup(near, evaluate, random), ...sampleGroup(far, evaluate, random)];
  return sampled.length > 0 ? sampled : evaluateAll(targets, evaluate);
}

function sampleGroup<State>(
  targets: readonly Target[],
  evaluate: TargetEvaluator<State>,
  random: Random,
): State[] {
  if (targets.length <= SAMPLES_PER_GROUP)
    return targets.flatMap((target) => evaluate(target) ?? []);
  const sampled = new Map<Target, State>();
  for (
    let tries = SAMPLES_PER_GROUP * TRIES_PER_SAMPLE;
    tries > 0 && sampled.size < SAMPLES_PER_GROUP;
    tries -= 1
  ) {
    const target = targets[random.below(targets.length)];
    if (target === undefined || sampled.has(target)) continue;
    const state = evaluate(target);
    if (state !== undefined) sampled.set(target, state);
  }
  return [...sampled.values()];
}
