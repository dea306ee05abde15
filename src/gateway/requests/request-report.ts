/**
 * Log lines and metrics of a request's attempts and its end.
 */
import { roundedProofAge } from '../../controllers/freshness/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { GatewayContext } from '../types.js';
import type { ChosenTarget } from './backend-tracker.js';
import type { AdmittedRequest, RequestHead, RequestOutcome, RequestPhase } from './types.js';

/** Summary of a finished request. */
export interface RequestSummary {
  outcome: RequestOutcome;
  reason: string;
  attempts: number;
  /** Attempts that the backend server may have executed. */
  possibleRuns: number;
  startedAt: Milliseconds;
  firstEventAt: Milliseconds | undefined;
  lastEventAt: Milliseconds | undefined;
  /** Longest time between two events of a stream. */
  longestGapMs: Milliseconds;
  lastEventId: string | undefined;
  /** How far it was when its caller left. */
  leftWhile?: RequestPhase;
  /** How late the process was when it noticed that its caller had left. */
  lateMs?: Milliseconds;
  /** How long the attempts in flight have been without a response, the longest of them. */
  unansweredMs?: Milliseconds;
}

/** What is logged of an attempt besides its target. */
export interface AttemptSummary {
  why: string;
  /** Counted from 1. */
  attempt: number;
  leftMs: Milliseconds;
  /** The event after which the stream resumes. */
  lastEventId: string | undefined;
  /** How late the process was at worst within the last second. */
  lateMs: Milliseconds;
  /** For how long departures may have been waiting to be read. */
  unreadMs: Milliseconds;
}

/** Logs an attempt with the data that its target was chosen by. */
export function reportAttempt(
  context: GatewayContext,
  { id, fingerprint }: AdmittedRequest,
  { target, inFlight, candidates, isRemote, speed }: ChosenTarget,
  { why, attempt, leftMs, lastEventId, lateMs, unreadMs }: AttemptSummary,
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
    slowness: speed && Math.round(speed.slowness * 10) / 10,
    fleetRevision: context.board.fleet.read().revision,
    ...describeConfiguration(context),
    leftMs: Math.round(leftMs),
    lateMs: Math.round(lateMs),
    unreadMs: Math.round(unreadMs),
    from: lastEventId,
  });
}

/**
 * The active configuration version, how long ago it was last confirmed to be the newest, and by whom.
 * A refusal with an old confirmation may follow an outdated configuration.
 */
function describeConfiguration({
  board,
  clock,
}: GatewayContext): Record<string, number | string | undefined> {
  const proof = board.configurationProof.read();
  return {
    configuration: board.serving.read()?.configuration.version,
    configurationAgeMs: roundedProofAge(proof, clock.now()),
    configurationProvedBy: proof?.source,
  };
}

/** Records a request that was refused before it was admitted. */
export function reportRefusal(context: GatewayContext, request: string, failure: Failure): void {
  const { board, clock, logger, metrics } = context;
  const stop = board.stop.read();
  metrics.countError(failure.kind);
  metrics.requests.inc({ route: 'none', outcome: 'refused' });
  logger.log('requestRefusedAtDoor', {
    request,
    kind: failure.kind,
    reason: failure.message,
    ...describeConfiguration(context),
    storeReachable: board.storeReachability.read().reachable,
    leftMs: stop && Math.round(stop.lastAnswerAt - clock.now()),
  });
}

/** Records the end of a request in metrics and log. */
export function reportEnd(
  { board, clock, metrics, logger }: GatewayContext,
  { id, caller, route, keyHolder, arrivedAt }: RequestHead,
  summary: RequestSummary,
): void {
  const { outcome, firstEventAt, lastEventAt } = summary;
  const now = clock.now();
  const stop = board.stop.read();
  metrics.requests.inc({ route: route.repeatability, outcome });
  if (summary.leftWhile) metrics.departures.inc({ phase: summary.leftWhile });
  const timings = metrics.timingsOf(keyHolder?.workspace ?? '', route.repeatability);
  timings.whole(now - arrivedAt);
  if (firstEventAt !== undefined) timings.firstToken(firstEventAt - arrivedAt);
  logger.log(outcome === 'answered' ? 'requestAnswered' : 'requestEnded', {
    request: id,
    outcome,
    reason: summary.reason,
    route: route.name,
    parts: caller.sharedParts?.join(),
    sends: summary.attempts,
    runs: summary.possibleRuns,
    tookMs: Math.round(now - arrivedAt),
    firstMs: firstEventAt && Math.round(firstEventAt - arrivedAt),
    targetMs: route.targetMs,
    lastEventAgoMs: lastEventAt && Math.round(now - lastEventAt),
    gapMs: lastEventAt && Math.round(summary.longestGapMs),
    gapTargetMs: route.targetEventGapMs,
    lastEventId: summary.lastEventId,
    leftWhile: summary.leftWhile,
    lateMs: summary.lateMs && Math.round(summary.lateMs),
    unansweredMs: summary.unansweredMs && Math.round(summary.unansweredMs),
    waitedMs: Math.round(summary.startedAt - arrivedAt),
    graceLeftMs: stop && Math.round(stop.lastAnswerAt - now),
  });
}

/** Records the end of a request whose caller disconnected while sending the body. */
export function reportIncompleteBody(context: GatewayContext, head: RequestHead): void {
  reportEnd(context, head, {
    outcome: 'callerGone',
    reason: 'the caller disconnected while sending its body',
    attempts: 0,
    possibleRuns: 0,
    startedAt: context.clock.now(),
    firstEventAt: undefined,
    lastEventAt: undefined,
    longestGapMs: 0,
    lastEventId: undefined,
    leftWhile: 'receiving',
  });
}
