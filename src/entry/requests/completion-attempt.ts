/**
 * One attempt of a completion: sends it, hands on its chunks and reports how it ended.
 */
import type {
  CompletionStart,
  EngineRefusal,
  EngineRequest,
} from '../../adapters/engines/index.js';
import type { AttemptEnd } from '../../controllers/retries/index.js';
import { enginePriority, type SentOutcome } from '../../controllers/routing/index.js';
import { createFailure } from '../../core/errors/index.js';
import type { CompletionRun, Sending } from './completion-run.js';

/** Sends one attempt to `candidate` and follows it to its end. */
export async function sendAttempt(
  run: CompletionRun,
  attempt: string,
  { candidate, isCrowding }: Pick<Sending, 'candidate' | 'isCrowding'>,
): Promise<void> {
  const { dispatcher, inFlight, losses, retries, context } = run.parts;
  const sending: Sending = { attempt, candidate, isCrowding, abort: new AbortController() };
  const targets = [candidate.replica, ...candidate.members];
  run.sending = sending;
  if (run.offers === 1) run.timings.queue(context.clock.now() - run.arrivedAt);
  if (run.offers === 1) retries.recordFirst(candidate.replica, run.request.caller.workspace);
  inFlight.recordSent(candidate.replica, run.promptTokens, run.request.maxTokens);
  inFlight.begin(targets);
  run.apply({ kind: 'sent', attempt });
  const endWatch = losses.watch(candidate, (reason) => {
    // The attempt ends here and now: what its stream still brings is dropped.
    run.apply({ kind: 'ended', attempt, end: { kind: 'lost', reason } });
  });
  const outcome = await follow(run, sending).catch((error: unknown) => {
    // Nothing below is expected to throw. Without an end of the attempt its request would hang and
    // its replica would never count as drained.
    const reason = error instanceof Error ? error.message : String(error);
    context.logger.log('unexpectedError', { reason });
    return endAttempt(run, sending, { kind: 'lost', reason });
  });
  endWatch();
  inFlight.end(targets);
  dispatcher.reportEnd(attempt, outcome);
}

function describeRequest(run: CompletionRun, sending: Sending): EngineRequest {
  const { attempt, candidate, isCrowding } = sending;
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

async function follow(run: CompletionRun, sending: Sending): Promise<SentOutcome> {
  const { engines } = run.parts.context;
  const request = describeRequest(run, sending);
  const { address } = sending.candidate;
  const start = await engines.complete(address, request, sending.abort.signal);
  switch (start.kind) {
    case 'started':
      return relayChunks(run, sending, start.chunks);
    case 'refused':
      return acceptRefusal(run, sending, start.refusal);
    case 'notSent':
    case 'lost':
      return endAttempt(run, sending, { kind: start.kind, reason: start.reason });
  }
}

async function relayChunks(
  run: CompletionRun,
  sending: Sending,
  chunks: Extract<CompletionStart, { kind: 'started' }>['chunks'],
): Promise<SentOutcome> {
  const { attempt } = sending;
  const { state, parts } = run;
  let tokens = 0;
  for await (const chunk of chunks) {
    if (tokens === 0 && chunk.kind === 'token') parts.dispatcher.reportFirstToken(attempt);
    tokens += 1;
    run.apply({ kind: 'chunk', attempt, chunk });
    if (chunk.kind === 'end' && state.phase === 'answered') {
      return { kind: 'completed', outputTokens: tokens - 1, cachedTokens: chunk.cachedTokens };
    }
    if (state.attempt !== attempt) break;
    if (run.flow) await run.flow;
  }
  const reason = 'the stream ended without an end mark';
  return endAttempt(run, sending, { kind: 'cut', reason, received: state.delivered });
}

function acceptRefusal(
  run: CompletionRun,
  sending: Sending,
  { refusal, reason, retryAfterMs }: EngineRefusal,
): SentOutcome {
  if (refusal === 'invalid') {
    run.apply({ kind: 'refused', failure: createFailure('invalidRequest', { reason }) });
    return { kind: 'refused' };
  }
  // An engine that does not lead a whole replica says so before the next probe does.
  if (refusal !== 'overloaded') run.parts.health.reportFailure(sending.candidate.leader);
  const end: AttemptEnd = { kind: 'refused', reason, retryAfterMs };
  run.apply({ kind: 'ended', attempt: sending.attempt, end });
  return { kind: 'refused' };
}

/** Reports an attempt that ended badly, unless it was cancelled here. */
function endAttempt(run: CompletionRun, sending: Sending, end: AttemptEnd): SentOutcome {
  if (sending.abort.signal.aborted && run.state.phase === 'answered') return { kind: 'cancelled' };
  run.parts.health.reportFailure(sending.candidate.leader);
  run.apply({ kind: 'ended', attempt: sending.attempt, end });
  return { kind: end.kind === 'notSent' ? 'notSent' : 'lost' };
}
