/**
 * The lines of a request's log at its sendings and its end, and its metrics.
 */
import { roundedAge } from '../../controllers/freshness/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { GatewayContext } from '../types.js';
import type { ChosenTarget } from './backends.js';
import type { AdmittedRequest, RequestHead, RequestOutcome } from './types.js';

/** What a run was like, as told when it ends. */
export interface RunSummary {
  outcome: RequestOutcome;
  reason: string;
  sends: number;
  /** Sendings that may have run. */
  runs: number;
  startedAt: Milliseconds;
  firstByteAt: Milliseconds | undefined;
  lastEventAt: Milliseconds | undefined;
  lastEventId: string | undefined;
}

/** What a sending was like beside its target. */
export interface SendingSummary {
  why: string;
  /** Counted from 1. */
  attempt: number;
  leftMs: Milliseconds;
  /** After which event the stream goes on. */
  lastEventId: string | undefined;
}

/** Tells of a sending with what decided it, and how old that was. */
export function reportSent(
  context: GatewayContext,
  { id, fingerprint }: AdmittedRequest,
  { target, inFlight, candidates, isRemote }: ChosenTarget,
  { why, attempt, leftMs, lastEventId }: SendingSummary,
): void {
  const { server } = target;
  context.logger.log('requestSent', {
    request: id,
    fingerprint,
    why,
    server: server.id,
    group: server.engine?.membership?.group,
    attempt,
    inFlight,
    candidates,
    remote: isRemote,
    fleetRevision: context.board.fleet.read().revision,
    ...describeConfiguration(context),
    leftMs: Math.round(leftMs),
    from: lastEventId,
  });
}

/** The version that a request is handled by, and how old the proof is that it is the newest. */
function describeConfiguration({
  board,
  clock,
}: GatewayContext): Record<string, number | undefined> {
  return {
    configuration: board.serving.read()?.configuration.version,
    configurationAgeMs: roundedAge(board.configurationProof.read(), clock.now()),
  };
}

/** Tells the end of a request to the metrics and the log. */
export function reportEnd(
  { board, clock, metrics, logger }: GatewayContext,
  { id, route, holder, arrivedAt }: RequestHead,
  summary: RunSummary,
): void {
  const { outcome, firstByteAt, lastEventAt } = summary;
  const now = clock.now();
  const stop = board.stop.read();
  metrics.requests.inc({ route: route.repeatability, outcome });
  const timings = metrics.timingsOf(holder?.workspace ?? '', route.repeatability);
  timings.whole(now - arrivedAt);
  if (firstByteAt !== undefined) timings.firstToken(firstByteAt - arrivedAt);
  logger.log(outcome === 'answered' ? 'requestAnswered' : 'requestEnded', {
    request: id,
    outcome,
    reason: summary.reason,
    route: route.name,
    sends: summary.sends,
    runs: summary.runs,
    tookMs: Math.round(now - arrivedAt),
    firstMs: firstByteAt && Math.round(firstByteAt - arrivedAt),
    lastEventAgoMs: lastEventAt && Math.round(now - lastEventAt),
    lastEventId: summary.lastEventId,
    waitedMs: Math.round(summary.startedAt - arrivedAt),
    graceLeftMs: stop && Math.round(stop.lastAnswerAt - now),
  });
}

/** Tells the end of a request whose caller left within its body. */
export function reportUnread(context: GatewayContext, head: RequestHead): void {
  reportEnd(context, head, {
    outcome: 'callerGone',
    reason: 'the caller left within its body',
    sends: 0,
    runs: 0,
    startedAt: context.clock.now(),
    firstByteAt: undefined,
    lastEventAt: undefined,
    lastEventId: undefined,
  });
}
