/**
 * Compares the times of one attempt with those that a server of usual speed needs.
 */
import {
  compareTimes,
  expectFirstEventMs,
  expectGapMs,
  prefillAllowanceMs,
  type SpeedKind,
} from '../../controllers/speed/index.js';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import type { EngineProfile, GroupModel } from '../../ports/index.js';

/** A replica that generates a stream, as the gateway knew it when it sent the request. */
export interface TimedStream {
  profile: EngineProfile;
  model: GroupModel;
  promptTokens: number;
  /** Requests in flight at the replica. */
  inFlight: number;
  /** The time to its first event says nothing of the server: it queues there, or resumes another stream. */
  ignoresFirstEvent: boolean;
}

export interface TimingOptions {
  clock: Clock;
  /** Undefined for an answer that is not a stream. */
  stream: TimedStream | undefined;
  targetMs: Milliseconds;
  /** Reports `ratio` of times that began at `since`. */
  report: (kind: SpeedKind, ratio: number, since: Milliseconds, inFlight: number) => void;
}

/** Gaps are compared over at least this long, so that a few events that arrive together don't matter. */
const MIN_GAP_SPAN_MS: Milliseconds = 300;

/** Timing of one attempt. Mutable, with a single owner. */
export class AttemptTiming {
  private since: Milliseconds;
  private events = 0;
  private hasBegun = false;

  constructor(private readonly options: TimingOptions) {
    this.since = options.clock.now();
  }

  /** Records that `count` events arrived while `inFlight` requests were known at the server. */
  recordEvents(count: number, inFlight: number): void {
    const { clock, stream, report } = this.options;
    if (stream === undefined) return;
    const now = clock.now();
    const { profile, model, promptTokens, ignoresFirstEvent } = stream;
    const allowanceMs = prefillAllowanceMs(profile, model);
    const known = Math.max(inFlight, stream.inFlight + 1);
    if (!this.hasBegun) {
      this.hasBegun = true;
      const expectedMs = expectFirstEventMs(profile, model, promptTokens, known);
      if (!ignoresFirstEvent)
        report(
          'firstEvent',
          compareTimes(now - this.since, expectedMs, allowanceMs),
          this.since,
          known,
        );
      this.since = now;
      return;
    }
    this.events += count;
    if (now - this.since < MIN_GAP_SPAN_MS) return;
    const expectedMs = this.events * expectGapMs(profile, model, known);
    report('eventGaps', compareTimes(now - this.since, expectedMs, allowanceMs), this.since, known);
    this.since = now;
    this.events = 0;
  }

  /** Records that the whole answer has arrived, if it is not a stream. */
  recordAnswer(): void {
    const { clock, stream, targetMs, report } = this.options;
    if (stream !== undefined) return;
    report('plainAnswer', compareTimes(clock.now() - this.since, targetMs), this.since, 0);
  }

  /** Reading was paused for the caller's sake: what arrives next arrived earlier. */
  interrupt(): void {
    this.since = this.options.clock.now();
    this.events = 0;
  }
}
