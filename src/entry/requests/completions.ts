/**
 * Runs one completion: performs the actions of its state machine and feeds it what happens.
 */
import type {
  CompletionOutcome,
  CompletionRequest,
  TokenOutput,
} from '../../adapters/callers/index.js';
import {
  advanceAttempt,
  createAttemptState,
  listExcluded,
  resolveModel,
  type AttemptAction,
} from '../../controllers/attempts/index.js';
import type { AdmissionRequest } from '../../controllers/limits/types.js';
import type { AttemptEnd } from '../../controllers/retries/types.js';
import { estimateTokens, hashPrefixes } from '../../controllers/routing/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { CompletionRun } from './completion-run.js';
import { sendAttempt } from './completion-attempt.js';
import { logRetry } from './request-log.js';
import type { RequestParts } from './types.js';

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
  const run: CompletionRun = {
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
    apply: () => undefined,
  };
  run.apply = (event) => {
    for (const action of advanceAttempt(run.state, event)) perform(run, action);
  };
  return run;
}

async function runAttempts(run: CompletionRun): Promise<CompletionOutcome> {
  const { request, parts } = run;
  const { signal, caller } = request;
  const left = Math.max(0, caller.deadlineAt - parts.context.clock.now());
  const deadline = setTimeout(() => {
    run.apply({ kind: 'deadline' });
  }, left);
  const leave = (): void => {
    run.apply({ kind: 'callerGone' });
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
  if (decision.kind !== 'answer') logRetry(parts.context.logger, request, decision, end);
  run.apply({ kind: 'decided', decision });
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
      if (grant.kind === 'refused') run.apply(grant);
      else void sendAttempt(run, ticket, grant);
    },
  );
}

/** The failure of an outcome, for counting. */
export function findFailure(outcome: CompletionOutcome): Failure | undefined {
  return outcome.kind === 'failed' ? outcome.failure : undefined;
}
