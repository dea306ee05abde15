/**
 * Relays the events of one request's stream, over all attempts, and measures the times between them.
 */
import type { EventStream, StreamFault } from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { AttemptResponse } from '../backends/attempt.js';
import type { GatewayContext } from '../types.js';
import type { BackendTracker } from './backend-tracker.js';
import type { Reply } from './reply.js';
import type { RequestQueues } from './request-queues.js';
import { relayEvents } from './response-relay.js';
import { limitsBetweenEvents } from './stall-limits.js';
import type { TrackedAttempt } from './tracked-attempt.js';
import type { AdmittedRequest } from './types.js';

/** When the events of a stream were relayed. */
export interface EventTimes {
  firstEventAt: Milliseconds | undefined;
  lastEventAt: Milliseconds | undefined;
  longestGapMs: Milliseconds;
}

/** What a chunk of a stream has brought. */
export type RelayResult =
  | 'progress'
  /** No new event is complete. */
  | 'noEvent'
  /** Whatever follows the events that were relayed can't be used. */
  | StreamFault;

interface StreamRelayDependencies {
  context: Pick<GatewayContext, 'clock' | 'platform'>;
  queues: Pick<RequestQueues, 'recordFirstEvent'>;
  backends: Pick<BackendTracker, 'inFlightAt'>;
}

const EMPTY_BUFFER = Buffer.alloc(0);

/** Relays the events of one request. */
export class StreamRelay {
  readonly times: EventTimes = {
    firstEventAt: undefined,
    lastEventAt: undefined,
    longestGapMs: 0,
  };

  constructor(
    private readonly request: AdmittedRequest,
    private readonly stream: EventStream,
    private readonly reply: Reply,
    private readonly deps: StreamRelayDependencies,
  ) {}

  get lastEventId(): string | undefined {
    return this.stream.lastEventId;
  }

  /** Whether the response has ended within an event so far. */
  get hasPartialEvent(): boolean {
    return this.stream.hasPartialEvent;
  }

  /** Relays the complete events in `chunk`. */
  relay(attempt: TrackedAttempt, response: AttemptResponse, chunk: Buffer): RelayResult {
    const { bytes, count, fault } = this.stream.push(chunk);
    if (bytes.length > 0) this.relayBytes(attempt, response, bytes, count);
    return fault ?? (count > 0 ? 'progress' : 'noEvent');
  }

  private relayBytes(
    attempt: TrackedAttempt,
    response: AttemptResponse,
    bytes: Buffer,
    count: number,
  ): void {
    if (count > 0) this.recordEvents(attempt, count);
    relayEvents(this.reply, this.deps.context.platform.requests, attempt, response, bytes);
  }

  private recordEvents(attempt: TrackedAttempt, count: number): void {
    attempt.timing?.recordEvents(count, this.deps.backends.inFlightAt(attempt.server));
    const limits = limitsBetweenEvents(this.request);
    if (limits) attempt.updateLimits(limits);
    this.recordEvent(attempt);
  }

  /** Ends the response to the caller after its last event. */
  end(attempt: TrackedAttempt, response: AttemptResponse): void {
    relayEvents(this.reply, this.deps.context.platform.requests, attempt, response, EMPTY_BUFFER);
    this.reply.end();
  }

  private recordEvent(attempt: TrackedAttempt): void {
    const { times } = this;
    const now = this.deps.context.clock.now();
    times.longestGapMs = Math.max(times.longestGapMs, now - (times.lastEventAt ?? now));
    times.lastEventAt = now;
    if (times.firstEventAt !== undefined) return;
    times.firstEventAt = now;
    this.deps.queues.recordFirstEvent(this.request, now - attempt.sentAt);
  }
}
