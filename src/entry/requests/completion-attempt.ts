/**
 * Runs one attempt of a completion: sends it, relays its chunks and reports its outcome.
 */
import type {
  CompletionStart,
  EngineRefusal,
  EngineRequest,
} from '../../adapters/engines/index.js';
import type { AttemptEnd } from '../../controllers/retries/index.js';
import { enginePriority, type SentOutcome } from '../../controllers/routing/index.js';
import { createFailure } from '../../core/errors/index.js';
import type { CompletionRun, ActiveAttempt } from './completion-run.js';

/** Sends an attempt to `candidate` and processes it until it ends. */
export async function sendAttempt(
  run: CompletionRun,
  attempt: string,
  { candidate, isCrowding }: Pick<ActiveAttempt, 'candidate' | 'isCrowding'>,
): Promise<void> {
  const { dispatcher, attemptTracker, lossMonitor, retries, context } = run.parts;
  const active: ActiveAttempt = {
    attempt,
    candidate,
    isCrowding,
    abortController: new AbortController(),
  };
  const targets = [candidate.replica, ...candidate.members];
  run.activeAttempt = active;
  if (run.offerCount === 1) run.timings.queue(context.clock.now() - run.arrivedAt);
  if (run.offerCount === 1)
    retries.recordFirstAttempt(candidate.replica, run.request.caller.workspace);
  attemptTracker.recordSent(candidate.replica, run.promptTokens, run.request.maxTokens);
  attemptTracker.begin(targets);
  run.apply({ kind: 'sent', attempt });
  const stopWatching = lossMonitor.watch(candidate, (reason) => {
    // Ends the attempt immediately; later chunks of its stream are dropped.
    run.apply({ kind: 'ended', attempt, end: { kind: 'lost', reason } });
  });
  const outcome = await runAttempt(run, active).catch((error: unknown) => {
    // An unexpected error must still end the attempt; otherwise the request would hang and its
    // replica would never finish draining.
    const reason = error instanceof Error ? error.message : String(error);
    context.logger.log('unexpectedError', { reason });
    return reportFailedAttempt(run, active, { kind: 'lost', reason });
  });
  stopWatching();
  attemptTracker.end(targets);
  dispatcher.reportEnd(attempt, outcome);
}

function buildEngineRequest(run: CompletionRun, active: ActiveAttempt): EngineRequest {
  const { attempt, candidate, isCrowding } = active;
  const { request, parts, state, seed } = run;
  const { policy } = parts.context.board.configuration.read();
  return {
    attempt,
    model: request.model,
    replica: candidate.replica,
    fence: candidate.fence,
    messages: [...request.messages],
    maxTokens: request.maxTokens,
    priority: enginePriority(policy.classes[request.caller.class].priority, isCrowding),
    seed,
    resumeFrom: state.delivered,
  };
}

async function runAttempt(run: CompletionRun, active: ActiveAttempt): Promise<SentOutcome> {
  const { engines } = run.parts.context;
  const request = buildEngineRequest(run, active);
  const { address } = active.candidate;
  const start = await engines.complete(address, request, active.abortController.signal);
  switch (start.kind) {
    case 'started':
      return relayChunks(run, active, start.chunks);
    case 'refused':
      return handleRefusal(run, active, start.refusal);
    case 'notSent':
    case 'lost':
      return reportFailedAttempt(run, active, { kind: start.kind, reason: start.reason });
  }
}

async function relayChunks(
  run: CompletionRun,
  active: ActiveAttempt,
  chunks: Extract<CompletionStart, { kind: 'started' }>['chunks'],
): Promise<SentOutcome> {
  const { attempt } = active;
  const { state, parts } = run;
  let tokens = 0;
  let begunAt = parts.context.clock.now();
  for await (const chunk of chunks) {
    if (tokens === 0 && chunk.kind === 'token') {
      parts.dispatcher.reportFirstToken(attempt);
      begunAt = parts.context.clock.now();
    }
    tokens += 1;
    run.apply({ kind: 'chunk', attempt, chunk });
    if (chunk.kind === 'end' && state.phase === 'answered') {
      parts.quarantine.recordAnswered(run.fingerprints, begunAt);
      return { kind: 'completed', outputTokens: tokens - 1, cachedTokens: chunk.cachedTokens };
    }
    if (state.attempt !== attempt) break;
    if (run.backpressure) await run.backpressure;
  }
  const reason = 'the stream ended without an end mark';
  return reportFailedAttempt(run, active, { kind: 'cut', reason, received: state.delivered });
}

function handleRefusal(
  run: CompletionRun,
  active: ActiveAttempt,
  { refusal, reason, retryAfterMs }: EngineRefusal,
): SentOutcome {
  if (refusal === 'invalid') {
    run.apply({ kind: 'refused', failure: createFailure('invalidRequest', { reason }) });
    return { kind: 'refused' };
  }
  // Other refusals mean that the engine can't serve the replica; don't wait for the next probe.
  if (refusal !== 'overloaded') run.parts.health.reportFailure(active.candidate.leader);
  const end: AttemptEnd = { kind: 'refused', reason, retryAfterMs };
  run.apply({ kind: 'ended', attempt: active.attempt, end });
  return { kind: 'refused', ...(retryAfterMs !== undefined && { retryAfterMs }) };
}

/** Reports a failed attempt, unless this entry cancelled it. */
function reportFailedAttempt(
  run: CompletionRun,
  active: ActiveAttempt,
  end: AttemptEnd,
): SentOutcome {
  if (active.abortController.signal.aborted && run.state.phase === 'answered')
    return { kind: 'cancelled' };
  run.parts.health.reportFailure(active.candidate.leader);
  if (end.kind !== 'notSent') run.parts.quarantine.recordBroken(run.fingerprints, active.candidate);
  run.apply({ kind: 'ended', attempt: active.attempt, end });
  return { kind: end.kind === 'notSent' ? 'notSent' : 'lost' };
}
