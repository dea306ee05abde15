/**
 * Decides when a gateway whose proof grows old asks others for theirs, and whom.
 *
 * Members of a failure domain rely on its hub, whose loss they notice late in a large fleet. Any gateway
 * can tell which version was the newest a moment ago.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { Random } from '../../core/random/index.js';
import type { KnownPeer } from '../peering/index.js';

const INTERVAL_MS: Milliseconds = 200;
/** Questions after which nobody seems to know more, as in an outage of the store. */
const FREQUENT_QUESTIONS = 6;
const RARE_INTERVAL_MS: Milliseconds = 1_000;

/** The questions of one gateway. Mutable, with a single owner. */
export class ProofQuestions {
  private asked = 0;
  private lastAskedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly failureDomain: string) {}

  /** The gateway to ask now; undefined if the proof is recent or no question is due. */
  next(
    now: Milliseconds,
    isOld: boolean,
    peers: Iterable<KnownPeer>,
    random: Random,
  ): KnownPeer | undefined {
    if (!isOld) {
      this.asked = 0;
      return undefined;
    }
    const intervalMs = this.asked < FREQUENT_QUESTIONS ? INTERVAL_MS : RARE_INTERVAL_MS;
    if (now - this.lastAskedAt < intervalMs) return undefined;
    const all = [...peers];
    // Every other question goes out of the failure domain, which may be cut off as a whole.
    const isOwnDomain = this.asked % 2 === 0;
    const preferred = all.filter(
      (peer) => (peer.failureDomain === this.failureDomain) === isOwnDomain,
    );
    const candidates = preferred.length > 0 ? preferred : all;
    if (candidates.length === 0) return undefined;
    this.asked += 1;
    this.lastAskedAt = now;
    return candidates[random.below(candidates.length)];
  }
}
