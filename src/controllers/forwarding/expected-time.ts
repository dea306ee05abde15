/**
 * How long a request may take, from what it asks for and from what others took lately.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { EngineProfile, GroupModel, Route } from '../../ports/index.js';

/** The slowness that was seen loses half of its distance from 1 in this span, as replicas are repaired. */
const SLOWNESS_HALF_LIFE_MS: Milliseconds = 10_000;

/**
 * A whole stream on a replica whose slots are all taken: the time that the operator allows up to the
 * first event, reading the prompt, then every output token that the caller allows. Infinite when the
 * caller doesn't say how many.
 *
 * Without the first part the estimates of short streams would be so small that their waits count as
 * slowness of the replica, and long streams would be refused for it.
 */
export function estimateStream(
  { targetMs }: Pick<Route, 'targetMs'>,
  profile: EngineProfile,
  model: GroupModel,
  promptTokens: number,
  outputTokens: number,
): Milliseconds {
  if (outputTokens <= 0) return Infinity;
  const reading = promptTokens / profile.promptTokensPerMs;
  const step = profile.stepMs + profile.stepPerRequestMs * profile.slots;
  return targetMs + model.pace * (reading + outputTokens * step);
}

interface Worst {
  ratio: number;
  at: Milliseconds;
}

/**
 * The worst that requests of one kind took lately, as a multiple of their estimates. Changed in
 * place, owned by one shell.
 *
 * Guards against estimates that hold for a sound replica only: requests also wait in queues, and
 * replicas slow down. Those that ended early count too, since they took at least as long as that.
 */
export class SlownessTable {
  private readonly worst = new Map<string, Worst>();

  /** A request of `kind`, estimated to take `estimateMs`, took `tookMs`. */
  record(kind: string, estimateMs: Milliseconds, tookMs: Milliseconds, now: Milliseconds): void {
    if (!Number.isFinite(estimateMs) || estimateMs <= 0) return;
    const ratio = tookMs / estimateMs;
    if (ratio > this.slownessOf(kind, now)) this.worst.set(kind, { ratio, at: now });
  }

  /** 1 or more. */
  slownessOf(kind: string, now: Milliseconds): number {
    const worst = this.worst.get(kind);
    if (worst === undefined) return 1;
    const left = 0.5 ** ((now - worst.at) / SLOWNESS_HALF_LIFE_MS);
    return 1 + (worst.ratio - 1) * left;
  }
}
