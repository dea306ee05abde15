/**
 * Runs a completion: passes events to its state machine and performs the resulting actions.
 */
import {
  isGraceOver,
  type CompletionOutcome,
  type CompletionRequest,
  type TokenOutput,
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
import { fingerprintCompletion, type CompletionFingerprints } from './request-quarantine.js';
import type { RequestParts } from './types.js';

const SEED_UPPER_BOUND = 2 ** 30;

/** Serves a completion until its final outcome. */
export async function runCompletion(
  parts: RequestParts,
  request: CompletionRequest,
  output: TokenOutput,
): Promise<CompletionOutcome> {
  const { configuration } = parts.context.board;
  const { workspace } = request.caller;
  const model = resolveModel(configuration.read(), workspace, request.model);
  if (model.isErr()) return { kind: 'failed', failure: model.error };
  const fingerprints = fingerprintCompletion(request);
  const refusal = parts.quarantine.refusalOf(fingerprints);
  if (refusal) return { kind: 'failed', failure: refusal };
  const promptTokens = estimateTokens(request.messages);
  const admissionRequest: AdmissionRequest = {
    workspace,
    tokens: promptTokens + request.maxTokens,
  };
  parts.attemptTracker.recordDemand(workspace, admissionRequest.tokens);
  const outcome = await runAdmitted(
    parts,
    request,
    output,
    admissionRequest,
    promptTokens,
    fingerprints,
  );
  parts.attemptTracker.recordFinished(workspace);
  return outcome;
}

async function runAdmitted(
  parts: RequestParts,
  request: CompletionRequest,
  output: TokenOutput,
  admissionRequest: AdmissionRequest,
  promptTokens: number,
  fingerprints: CompletionFingerprints,
): Promise<CompletionOutcome> {
  const admission = parts.admission.admit(admissionRequest);
  if (admission.kind === 'refused') return { kind: 'failed', failure: admission.failure };
  const run = createRun(parts, request, output, promptTokens, fingerprints);
  const outcome = await runAttempts(run);
  parts.admission.release(admissionRequest, promptTokens + run.state.delivered);
  run.timings.whole(parts.context.clock.now() - run.arrivedAt);
  return outcome;
}

function createRun(
  parts: RequestParts,
  request: CompletionRequest,
  output: TokenOutput,
  promptTokens: number,
  fingerprints: CompletionFingerprints,
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
    fingerprints,
    seed: request.seed ?? random.below(SEED_UPPER_BOUND),
    ticket: '',
    offerCount: 0,
    activeAttempt: undefined,
    backpressure: undefined,
    lastTokenAt: undefined,
    retryTimer: undefined,
    resolve: () => undefined,
    apply: () => undefined,
  };
  run.apply = (event) => {
    for (const action of advanceAttempt(run.state, event)) performAction(run, action);
  };
  return run;
}

async function runAttempts(run: CompletionRun): Promise<CompletionOutcome> {
  const { request, parts } = run;
  const { signal, caller } = request;
  const remainingMs = Math.max(0, caller.deadlineAt - parts.context.clock.now());
  const deadline = setTimeout(() => {
    run.apply({ kind: 'deadline' });
  }, remainingMs);
  const onCallerGone = (): void => {
    run.apply({ kind: isGraceOver(request) ? 'stopping' : 'callerGone' });
  };
  signal.addEventListener('abort', onCallerGone);
  const outcome = await new Promise<CompletionOutcome>((resolve) => {
    run.resolve = resolve;
    if (signal.aborted) onCallerGone();
    else offerToDispatcher(run, []);
  });
  clearTimeout(deadline);
  clearTimeout(run.retryTimer);
  signal.removeEventListener('abort', onCallerGone);
  parts.dispatcher.withdraw(run.ticket);
  return outcome;
}

function performAction(run: CompletionRun, action: AttemptAction): void {
  switch (action.kind) {
    case 'relay':
      relayText(run, action.text);
      return;
    case 'finish':
      run.resolve({ kind: 'whole', reason: action.reason, tokens: action.tokens });
      return;
    case 'fail':
      run.resolve({ kind: 'failed', failure: action.failure });
      return;
    case 'cancel':
      cancelAttempt(run);
      return;
    case 'decide':
      decideRetry(run, action.end);
      return;
    case 'ask':
      run.parts.metrics.countRetry();
      run.retryTimer = setTimeout(() => {
        offerRetry(run, action.exclude);
      }, action.afterMs);
      return;
  }
}

function relayText(run: CompletionRun, text: string): void {
  const now = run.parts.context.clock.now();
  if (run.lastTokenAt === undefined) run.timings.firstToken(now - run.arrivedAt);
  else run.timings.betweenTokens(now - run.lastTokenAt);
  run.lastTokenAt = now;
  run.backpressure = run.output.relay(text);
}

function cancelAttempt({ activeAttempt, parts }: CompletionRun): void {
  if (!activeAttempt) return;
  activeAttempt.abortController.abort();
  // Some engines only detect a closed connection on their next write, so cancel explicitly as well.
  // If the call fails, the engine completes a response that nobody reads.
  void parts.context.engines.cancel(activeAttempt.candidate.address, activeAttempt.attempt);
}

function decideRetry(run: CompletionRun, end: AttemptEnd): void {
  const { request, state, parts } = run;
  const decision = parts.retries.decide({
    end,
    target: run.activeAttempt?.candidate.replica ?? '',
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

function offerRetry(run: CompletionRun, failedReplica: string): void {
  const { eligible, context } = run.parts;
  offerToDispatcher(
    run,
    listExcluded(failedReplica, eligible.list(run.request.model, context.clock.now())),
  );
}

function offerToDispatcher(run: CompletionRun, excluded: readonly string[]): void {
  const { request, parts, promptTokens, prefixes, arrivedAt, state } = run;
  const refusal = parts.quarantine.refusalOf(run.fingerprints);
  if (refusal) {
    run.apply({ kind: 'refused', failure: refusal });
    return;
  }
  run.offerCount += 1;
  const ticket = `${request.id}.${run.offerCount}`;
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
    (result) => {
      if (result.kind === 'refused') run.apply(result);
      else void sendAttempt(run, ticket, result);
    },
  );
}

/** Returns the failure of an outcome, if it has one. */
export function getFailure(outcome: CompletionOutcome): Failure | undefined {
  return outcome.kind === 'failed' ? outcome.failure : undefined;
}
