/**
 * The estimated time to first token of a request at a replica, all in milliseconds: network
 * distance, wait for a place in the batch, prefill of what waits ahead, and prefill of the prompt
 * without what the replica is believed to have cached.
 */
import type { EngineLoad } from '../../adapters/engines/protocol.js';
import type { SentCount } from '../../board/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { countCachedTokens } from './beliefs.js';
import {
  BACKLOG_FRACTION,
  DEFAULT_BATCH_SIZE,
  DEFAULT_DECODE_MS_PER_TOKEN,
  DEFAULT_PREFILL_MS_PER_TOKEN,
  HEADROOM_FRACTION,
  MOST_PREFILL_BACKLOG_MS,
  OTHER_REGION_MS,
  SAME_DOMAIN_MS,
  SAME_REGION_MS,
} from './constants.js';
import type { DispatchState, ReplicaTrack } from './state.js';
import { currentSlowness, overdueMs, settleReported } from './tracks.js';
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
  /** Whether the engine can take the request without much of a queue. */
  hasRoom: boolean;
  /** Mean span until the engine has finished one more request. */
  slotMs: Milliseconds;
}

/** A replica's work as it stands now: the last report and what was sent since. */
interface Work {
  requests: number;
  promptTokens: number;
  outputTokens: number;
  batchSize: number;
  prefillMs: Milliseconds;
  decodeMs: Milliseconds;
}

/** Estimates `request` at `candidate`. Takes constant time. */
export function estimateCandidate(
  state: DispatchState,
  candidate: Candidate,
  request: WaitingRequest,
  view: DispatchView,
  leavesHeadroom: boolean,
  now: Milliseconds,
): Estimate {
  const track = state.replicas.get(candidate.replica);
  const networkMs = distanceMs(view.here, candidate.location);
  const peer = state.peers.byReplica.get(candidate.replica);
  const work = sumWork(candidate, track, peer, view, networkMs, now);
  const cached = countCachedTokens(state, candidate.replica, request.prefixes);
  const promptTokens = Math.max(1, request.promptTokens - cached);
  const slotMs = (meanOutput(work) * work.decodeMs) / work.batchSize;
  const backlogMs = work.promptTokens * work.prefillMs;
  const queueMs = backlogMs + slotMs * Math.max(0, work.requests + 1 - work.batchSize);
  const slowness = track ? currentSlowness(track, now) : 1;
  const overdue = track ? overdueMs(track, now) : 0;
  const prefillMs = promptTokens * work.prefillMs;
  return {
    candidate,
    firstTokenMs: 2 * networkMs + slowness * (queueMs + prefillMs) + overdue,
    plainFirstTokenMs: 2 * networkMs + queueMs + prefillMs,
    waitMs: 2 * networkMs + slowness * queueMs + overdue,
    promptTokens,
    hasRoom: work.requests < roomOf(work, leavesHeadroom) && backlogMs <= MOST_PREFILL_BACKLOG_MS,
    slotMs,
  };
}

/** One-way network distance. */
export function distanceMs(here: Location, there: Location): Milliseconds {
  if (here.failureDomain === there.failureDomain) return SAME_DOMAIN_MS;
  return here.region === there.region ? SAME_REGION_MS : OTHER_REGION_MS;
}

function roomOf(work: Work, leavesHeadroom: boolean): number {
  if (!leavesHeadroom) return work.batchSize * (1 + BACKLOG_FRACTION);
  return Math.max(1, work.batchSize * (1 - HEADROOM_FRACTION));
}

function sumWork(
  candidate: Candidate,
  track: ReplicaTrack | undefined,
  peer: SentCount | undefined,
  view: DispatchView,
  networkMs: Milliseconds,
  now: Milliseconds,
): Work {
  const report = candidate.load;
  if (!report) return unreportedWork(track);
  const work = reportedWork(report.load);
  const age = Math.max(0, now - report.measuredAt);
  if (track) {
    settleReported(track, report.measuredAt - networkMs);
    addUnreported(work, track);
  }
  if (peer) addPeers(work, peer, Math.min(1, age / (view.peersPeriodMs ?? age)));
  work.promptTokens = Math.max(0, work.promptTokens - age / Math.max(work.prefillMs, 0.001));
  return work;
}

function reportedWork(load: EngineLoad): Work {
  return {
    requests: load.running + load.waiting,
    promptTokens: load.pendingPromptTokens,
    outputTokens: load.pendingOutputTokens,
    batchSize: load.batchSize,
    prefillMs: load.prefillMsPerToken,
    decodeMs: load.decodeMsPerToken,
  };
}

function unreportedWork(track: ReplicaTrack | undefined): Work {
  const work: Work = {
    requests: track?.outstanding.size ?? 0,
    promptTokens: 0,
    outputTokens: 0,
    batchSize: DEFAULT_BATCH_SIZE,
    prefillMs: DEFAULT_PREFILL_MS_PER_TOKEN,
    decodeMs: DEFAULT_DECODE_MS_PER_TOKEN,
  };
  for (const sent of track?.unanswered.values() ?? []) work.promptTokens += sent.promptTokens;
  for (const sent of track?.outstanding.values() ?? []) work.outputTokens += sent.outputTokens;
  return work;
}

function addUnreported(work: Work, track: ReplicaTrack): void {
  work.requests += track.unreported.length;
  work.promptTokens += track.unreportedPromptTokens;
  work.outputTokens += track.unreportedOutputTokens;
}

function addPeers(work: Work, peer: SentCount, part: number): void {
  work.requests += peer.requests * part;
  work.promptTokens += peer.promptTokens * part;
  work.outputTokens += peer.outputTokens * part;
}

function meanOutput(work: Work): number {
  return work.requests > 0 ? work.outputTokens / work.requests : 0;
}
