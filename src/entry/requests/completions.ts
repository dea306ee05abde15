/**
 * Runs one completion: performs the actions of its state machine and feeds it what happens.
 */
import type {
  CompletionOutcome,
  CompletionRequest,
  TokenOutput,
} from '../../adapters/callers/index.js';
import type {
  CompletionStart,
  EngineRefusal,
  EngineRequest,
} from '../../adapters/engines/index.js';
import {
  advanceAttempt,
  createAttemptState,
  listExcluded,
  resolveModel,
  type AttemptAction,
  type AttemptEvent,
  type AttemptState,
} from '../../controllers/attempts/index.js';
import type { AdmissionRequest } from '../../controllers/limits/types.js';
import type { AttemptEnd } from '../../controllers/retries/types.js';
import {
  estimateTokens,
  hashPrefixes,
  type Candidate,
  type Prefix,
  type SentOutcome,
} from '../../controllers/routing/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { RequestTimings } from '../../core/metrics/index.js';
import type { RequestParts } from './types.js';

/** An attempt that has been sent and not ended. */
interface Sending {
  attempt: string;
  candidate: Candidate;
  abort: AbortController;
}

/** One completion under way. */
interface CompletionRun {
  parts: RequestParts;
  request: CompletionRequest;
  output: TokenOutput;
  state: AttemptState;
  timings: RequestTimings;
  arrivedAt: Milliseconds;
  promptTokens: number;
  prefixes: readonly Prefix[];
  seed: number;
  /** The ticket of the current offer, also the id of the attempt made of it. */
  ticket: string;
  offers: number;
  sending: Sending | undefined;
  /** Pending while the caller can't take more. */
  flow: Promise<void> | undefined;
  lastTokenAt: Milliseconds | undefined;
  retryTimer: NodeJS.Timeout | undefined;
  resolve: (outcome: CompletionOutcome) => void;
}

const SEED_BOUND = 2 ** 30;

/** Serves one completion to its only final answer. */
export async function runCompletion(
  parts: RequestParts,
  request: CompletionRequest,
  output: TokenOutput,
): Promise<CompletionOutcome> {
  const { configuration } = parts.context.board;
  const { workspace } = request.caller;
  const model = resolveModel(configuration.read(), workspace, request.model);
  if (model.isErr()) return { kind: 'failed', failure: model.error };
  const promptTokens = estimateTokens(request.messages);
  const asked: AdmissionRequest = { workspace, tokens: promptTokens + request.maxTokens };
  parts.inFlight.recordAsked(workspace, asked.tokens);
  const outcome = await runAdmitted(parts, request, output, asked, promptTokens);
  parts.inFlight.recordAnswered(workspace);
  return outcome;
}

async function runAdmitted(
  parts: RequestParts,
  request: CompletionRequest,
  output: TokenOutput,
  asked: AdmissionRequest,
  promptTokens: number,
): Promise<CompletionOutcome> {
  const admission = parts.admission.admit(asked);
  if (admission.kind === 'refused') return { kind: 'failed', failure: admission.failure };
  const run = createRun(parts, request, output, promptTokens);
  const outcome = await runAttempts(run);
  parts.admission.release(asked, promptTokens + run.state.delivered);
  run.timings.whole(parts.context.clock.now() - run.arrivedAt);
  return outcome;
}

function createRun(
  parts: RequestParts,
  request: CompletionRequest,
  output: TokenOutput,
  promptTokens: number,
): CompletionRun {
  const { clock, random } = parts.context;
  const { workspace, class: requestClass } = request.caller;
  return {
    parts,
    request,
    output,
    state: createAttemptState(),
    timings: parts.metrics.timingsOf(workspace, requestClass),
    arrivedAt: clock.now(),
    promptTokens,
    prefixes: hashPrefixes(request.messages),
    seed: request.seed ?? random.below(SEED_BOUND),
    ticket: '',
    offers: 0,
    sending: undefined,
    flow: undefined,
    lastTokenAt: undefined,
    retryTimer: undefined,
    resolve: () => undefined,
  };
}

async function runAttempts(run: CompletionRun): Promise<CompletionOutcome> {
  const { request, parts } = run;
  const { signal, caller } = request;
  const left = Math.max(0, caller.deadlineAt - parts.context.clock.now());
  const deadline = setTimeout(() => {
    apply(run, { kind: 'deadline' });
  }, left);
  const leave = (): void => {
    apply(run, { kind: 'callerGone' });
  };
  signal.addEventListener('abort', leave);
  const outcome = await new Promise<CompletionOutcome>((resolve) => {
    run.resolve = resolve;
    if (signal.aborted) leave();
    else offer(run, []);
  });
  clearTimeout(deadline);
  clearTimeout(run.retryTimer);
  signal.removeEventListener('abort', leave);
  parts.dispatcher.withdraw(run.ticket);
  return outcome;
}

function apply(run: CompletionRun, event: AttemptEvent): void {
  for (const action of advanceAttempt(run.state, event)) perform(run, action);
}

function perform(run: CompletionRun, action: AttemptAction): void {
  switch (action.kind) {
    case 'relay':
      relay(run, action.text);
      return;
    case 'finish':
      run.resolve({ kind: 'whole', reason: action.reason, tokens: action.tokens });
      return;
    case 'fail':
      run.resolve({ kind: 'failed', failure: action.failure });
      return;
    case 'cancel':
      cancel(run);
      return;
    case 'decide':
      decide(run, action.end);
      return;
    case 'ask':
      run.parts.metrics.countRetry();
      run.retryTimer = setTimeout(() => {
        offerAgain(run, action.exclude);
      }, action.afterMs);
      return;
  }
}

function relay(run: CompletionRun, text: string): void {
  const now = run.parts.context.clock.now();
  if (run.lastTokenAt === undefined) run.timings.firstToken(now - run.arrivedAt);
  else run.timings.betweenTokens(now - run.lastTokenAt);
  run.lastTokenAt = now;
  run.flow = run.output.relay(text);
}

function cancel({ sending, parts }: CompletionRun): void {
  if (!sending) return;
  sending.abort.abort();
  // Closing the connection is enough for most engines; the call covers those that only notice when
  // they next write. When it fails, the engine finishes an answer that nobody reads.
  void parts.context.engines.cancel(sending.candidate.address, sending.attempt);
}

function decide(run: CompletionRun, end: AttemptEnd): void {
  const { request, state, parts } = run;
  const decision = parts.retries.decide({
    end,
    target: run.sending?.candidate.replica ?? '',
    workspace: request.caller.workspace,
    repeatable: true,
    resumable: true,
    attempts: state.attempts,
    deadlineAt: request.caller.deadlineAt,
    mayHaveRun: state.mayHaveRun,
    received: state.delivered,
  });
  apply(run, { kind: 'decided', decision });
}

function offerAgain(run: CompletionRun, failed: string): void {
  const { eligible, context } = run.parts;
  offer(run, listExcluded(failed, eligible.list(run.request.model, context.clock.now())));
}

function offer(run: CompletionRun, excluded: readonly string[]): void {
  const { request, parts, promptTokens, prefixes, arrivedAt, state } = run;
  run.offers += 1;
  const ticket = `${request.id}.${run.offers}`;
  run.ticket = ticket;
  parts.dispatcher.offer(
    {
      ticket,
      workspace: request.caller.workspace,
      class: request.caller.class,
      model: request.model,
      promptTokens,
      maxTokens: request.maxTokens,
      prefixes,
      arrivedAt,
      deadlineAt: request.caller.deadlineAt,
      excluded,
      mayHaveRun: state.mayHaveRun,
    },
    (grant) => {
      if (grant.kind === 'refused') apply(run, grant);
      else void send(run, ticket, grant.candidate);
    },
  );
}

async function send(run: CompletionRun, attempt: string, candidate: Candidate): Promise<void> {
  const { dispatcher, inFlight, retries, context } = run.parts;
  const sending: Sending = { attempt, candidate, abort: new AbortController() };
  const targets = [candidate.replica, ...candidate.members];
  run.sending = sending;
  if (run.offers === 1) run.timings.queue(context.clock.now() - run.arrivedAt);
  if (run.offers === 1) retries.recordFirst(candidate.replica, run.request.caller.workspace);
  inFlight.recordSent(candidate.replica, run.promptTokens, run.request.maxTokens);
  inFlight.begin(targets);
  apply(run, { kind: 'sent', attempt });
  const outcome = await follow(run, sending).catch((error: unknown) => {
    // Nothing below is expected to throw. Without an end of the attempt its request would hang and
    // its replica would never count as drained.
    const reason = error instanceof Error ? error.message : String(error);
    context.logger.log('unexpectedError', { reason });
    return endAttempt(run, sending, { kind: 'lost', reason });
  });
  inFlight.end(targets);
  dispatcher.reportEnd(attempt, outcome);
}

function describeRequest(run: CompletionRun, { attempt, candidate }: Sending): EngineRequest {
  const { request, parts, state, seed } = run;
  const { policy } = parts.context.board.configuration.read();
  return {
    attempt,
    model: request.model,
    replica: candidate.replica,
    fence: candidate.fence,
    messages: [...request.messages],
    maxTokens: request.maxTokens,
    priority: policy.classes[request.caller.class].priority,
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
    apply(run, { kind: 'chunk', attempt, chunk });
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
    apply(run, { kind: 'refused', failure: createFailure('invalidRequest', { reason }) });
    return { kind: 'refused' };
  }
  // An engine that does not lead a whole replica says so before the next probe does.
  if (refusal !== 'overloaded') run.parts.health.reportFailure(sending.candidate.leader);
  const end: AttemptEnd = { kind: 'refused', reason, retryAfterMs };
  apply(run, { kind: 'ended', attempt: sending.attempt, end });
  return { kind: 'refused' };
}

/** Reports an attempt that ended badly, unless it was cancelled here. */
function endAttempt(run: CompletionRun, sending: Sending, end: AttemptEnd): SentOutcome {
  if (sending.abort.signal.aborted && run.state.phase === 'answered') return { kind: 'cancelled' };
  run.parts.health.reportFailure(sending.candidate.leader);
  apply(run, { kind: 'ended', attempt: sending.attempt, end });
  return { kind: end.kind === 'notSent' ? 'notSent' : 'lost' };
}

/** The failure of an outcome, for counting. */
export function findFailure(outcome: CompletionOutcome): Failure | undefined {
  return outcome.kind === 'failed' ? outcome.failure : undefined;
}
