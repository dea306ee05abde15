/**
 * The estimated time to first token of a request at a replica, all in milliseconds: network
 * distance, wait for a place in the batch, prefill of what waits ahead, and prefill of the prompt
 * without what the replica is believed to have cached.
 */
import type { SentCount } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { countCachedTokens } from './prefix-cache.js';
import {
  BACKLOG_FRACTION,
  CROWDED_PREFILL_BACKLOG_MS,
  DEFAULT_BATCH_SIZE,
  DEFAULT_DECODE_MS_PER_TOKEN,
  DEFAULT_PREFILL_MS_PER_TOKEN,
  HEADROOM_FRACTION,
  HOME_CACHED_PART,
  MOST_PREFILL_BACKLOG_MS,
  OTHER_REGION_MS,
  SAME_DOMAIN_MS,
  SAME_REGION_MS,
} from './constants.js';
import type { DispatchState, ReplicaTrack } from './state.js';
import { backlogAt, currentSlowness, overdueMs, settleReport } from './replica-stats.js';
import type { Candidate, DispatchView, Location, WaitingRequest } from './types.js';

/** What one choice knows of one candidate. */
export interface Estimate {
  candidate: Candidate;
  firstTokenMs: Milliseconds;
  /** The same before the learned ratio. */
  plainFirstTokenMs: Milliseconds;
  /** The part that is not this prompt's own prefill. */
  waitMs: Milliseconds;
  /** Prompt tokens to prefill. */
  promptTokens: number;
  prefillMs: Milliseconds;
  /** Whether the engine can take the request without much of a queue. */
  hasRoom: boolean;
  /** Mean span until the engine has finished one more request. */
  slotMs: Milliseconds;
  lastSentAt: Milliseconds;
}

/** A replica's work as it stands now: the last report and what was sent since. */
interface Work {
  requests: number;
  outputTokens: number;
  backlogMs: Milliseconds;
  batchSize: number;
  prefillMs: Milliseconds;
  decodeMs: Milliseconds;
}

/** A request as it is estimated. */
export interface EstimatedRequest {
  request: WaitingRequest;
  /** Whether it leaves the engines some headroom. */
  leavesHeadroom: boolean;
  /** The longest prefix that is believed to be cached anywhere, in tokens. */
  knownTokens: number;
}

/** Estimates a request at `candidate`. Takes constant time. */
export function estimateCandidate(
  state: DispatchState,
  candidate: Candidate,
  isHome: boolean,
  asked: EstimatedRequest,
  view: DispatchView,
  now: Milliseconds,
): Estimate {
  const { request, leavesHeadroom } = asked;
  const track = state.replicas.get(candidate.replica);
  const networkMs = distanceMs(view.here, candidate.location);
  const work = sumWork(state, candidate, track, networkMs, now);
  const believed = countCachedTokens(state, candidate.replica, request.prefixes);
  const cached = Math.max(believed, isHome ? asked.knownTokens * HOME_CACHED_PART : 0);
  const slotMs = (meanOutput(work) * work.decodeMs) / work.batchSize;
  const queueMs = work.backlogMs + slotMs * Math.max(0, work.requests + 1 - work.batchSize);
  const slowness = track ? currentSlowness(track, now) : 1;
  const overdue = track ? overdueMs(track, now) : 0;
  const promptTokens = Math.max(1, request.promptTokens - cached);
  const prefillMs = promptTokens * work.prefillMs;
  return {
    candidate,
    firstTokenMs: 2 * networkMs + slowness * (queueMs + prefillMs) + overdue,
    plainFirstTokenMs: 2 * networkMs + queueMs + prefillMs,
    waitMs: 2 * networkMs + slowness * queueMs + overdue,
    promptTokens,
    prefillMs,
    hasRoom: hasRoom(work, leavesHeadroom),
    slotMs,
    lastSentAt: track?.lastSentAt ?? Number.NEGATIVE_INFINITY,
  };
}

/** One-way network distance. */
export function distanceMs(here: Location, there: Location): Milliseconds {
  if (here.failureDomain === there.failureDomain) return SAME_DOMAIN_MS;
  return here.region === there.region ? SAME_REGION_MS : OTHER_REGION_MS;
}

function hasRoom(work: Work, leavesHeadroom: boolean): boolean {
  if (leavesHeadroom) {
    const places = Math.max(1, work.batchSize * (1 - HEADROOM_FRACTION));
    return work.requests < places && work.backlogMs <= CROWDED_PREFILL_BACKLOG_MS;
  }
  const places = work.batchSize * (1 + BACKLOG_FRACTION);
  return work.requests < places && work.backlogMs <= MOST_PREFILL_BACKLOG_MS;
}

/**
 * The last report and what this entry sent since. What ended since and what peers sent since are
 * taken to balance: measured, adding peers' counts made the choice worse, as they come later still
 * than the reports and single counts scatter.
 */
function sumWork(
  state: DispatchState,
  candidate: Candidate,
  track: ReplicaTrack | undefined,
  networkMs: Milliseconds,
  now: Milliseconds,
): Work {
  const report = candidate.load;
  if (!report) return unreportedWork(track, state.peers.byReplica.get(candidate.replica), now);
  const { load } = report;
  const age = Math.max(0, now - report.measuredAt);
  const reportedMs = load.pendingPromptTokens * load.prefillMsPerToken * state.uncachedPart;
  const work: Work = {
    requests: load.running + load.waiting,
    outputTokens: load.pendingOutputTokens,
    backlogMs: Math.max(0, reportedMs - age),
    batchSize: load.batchSize,
    prefillMs: load.prefillMsPerToken,
    decodeMs: load.decodeMsPerToken,
  };
  if (track) {
    settleReport(track, report.measuredAt - networkMs, reportedMs);
    work.requests += track.unreported.length;
    work.outputTokens += track.unreportedOutputTokens;
    work.backlogMs = backlogAt(track, now);
  }
  return work;
}

/**
 * A replica without a report, by what this entry and, in their last digests, its peers sent to it.
 */
function unreportedWork(
  track: ReplicaTrack | undefined,
  peers: SentCount | undefined,
  now: Milliseconds,
): Work {
  let outputTokens = peers?.outputTokens ?? 0;
  for (const sent of track?.outstanding.values() ?? []) outputTokens += sent.outputTokens;
  return {
    requests: (track?.outstanding.size ?? 0) + (peers?.requests ?? 0),
    outputTokens,
    backlogMs: track ? backlogAt(track, now) : 0,
    batchSize: DEFAULT_BATCH_SIZE,
    prefillMs: DEFAULT_PREFILL_MS_PER_TOKEN,
    decodeMs: DEFAULT_DECODE_MS_PER_TOKEN,
  };
}

function meanOutput(work: Work): number {
  return work.requests > 0 ? work.outputTokens / work.requests : 0;
}
