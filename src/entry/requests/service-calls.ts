/**
 * Runs calls to plain services. Calls that may run only once are passed to `runOnceCall`.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { ok, type Result } from 'neverthrow';
import { isGraceOver, type ServiceCall, type ServiceOutput } from '../../adapters/callers/index.js';
import type { ServiceRequest } from '../../adapters/services/index.js';
import {
  concludeRequest,
  createStoppingFailure,
  resolveCallHandling,
  resolveService,
  type CallHandling,
} from '../../controllers/attempts/index.js';
import type { AttemptEnd } from '../../controllers/retries/types.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { Service } from '../../objects/index.js';
import { createDeadline, type Deadline } from './deadline.js';
import {
  chooseServiceInstance,
  recordInstanceCooldown,
  reportInstanceOutcome,
} from './service-instances.js';
import { runOnceCall } from './once-calls.js';
import { logRetry } from './request-log.js';
import { buildServiceRequest, createNoCapacityFailure } from './service-request.js';
import type { RequestParts } from './types.js';

/** Bodies up to this size are buffered so that calls can be retried; larger ones are streamed. */
const MAX_BUFFERED_BYTES = 65_536;

/** State of a call in progress. */
interface CallRun {
  parts: RequestParts;
  call: ServiceCall;
  output: ServiceOutput;
  service: Service;
  handling: CallHandling;
  body: ServiceRequest['body'];
  /** Deadline for the start of the response. */
  responseStartDeadlineAt: Milliseconds;
  deadline: Deadline;
  /** Aborted when the caller disconnects, the deadline passes or the grace of a stop is over. */
  signal: AbortSignal;
  attempts: number;
  mayHaveRun: boolean;
}

/** Result of an attempt: answered, given up without a retry, or failed and possibly retried. */
type AttemptResult = { kind: 'answered' } | { kind: 'givenUp'; failure: Failure } | AttemptEnd;

/** Serves a call to a plain service. Returns a failure if it did not complete. */
export async function runServiceCall(
  parts: RequestParts,
  call: ServiceCall,
  output: ServiceOutput,
): Promise<Failure | undefined> {
  const { workspace } = call.caller;
  const resolved = resolveCall(parts, call);
  if (resolved.isErr()) return resolved.error;
  const admissionRequest = { workspace, tokens: 0 };
  parts.attemptTracker.recordDemand(workspace, 0);
  const admission = parts.admission.admit(admissionRequest);
  const failure =
    admission.kind === 'refused'
      ? admission.failure
      : await runAdmitted(parts, call, output, resolved.value);
  if (admission.kind === 'admitted') parts.admission.release(admissionRequest, 0);
  parts.attemptTracker.recordFinished(workspace);
  return failure;
}

interface ResolvedCall {
  service: Service;
  handling: CallHandling;
}

function resolveCall(parts: RequestParts, call: ServiceCall): Result<ResolvedCall, Failure> {
  const configuration = parts.context.board.configuration.read();
  return resolveService(configuration, call.caller.workspace, call.service).andThen((service) =>
    resolveCallHandling(service.rules, call.method, call.path).map((handling) => ({
      service,
      handling,
    })),
  );
}

async function runAdmitted(
  parts: RequestParts,
  call: ServiceCall,
  output: ServiceOutput,
  { service, handling }: ResolvedCall,
): Promise<Failure | undefined> {
  const { clock } = parts.context;
  const startedAt = clock.now();
  const timings = parts.metrics.timingsOf(call.caller.workspace, call.caller.class);
  const failure =
    handling === 'once'
      ? await runOnceCall(parts, call, service, output)
      : await runCallWithRetries(parts, call, output, service, handling);
  timings.whole(clock.now() - startedAt);
  return failure;
}

async function runCallWithRetries(
  parts: RequestParts,
  call: ServiceCall,
  output: ServiceOutput,
  service: Service,
  handling: CallHandling,
): Promise<Failure | undefined> {
  const { clock } = parts.context;
  const body = await prepareBody(call);
  if (body.isErr()) return body.error;
  const deadlineAt = Math.min(call.caller.deadlineAt, clock.now() + service.timeoutMs);
  const deadline = createDeadline(clock, deadlineAt);
  const run: CallRun = {
    parts,
    call,
    output,
    service,
    handling,
    body: body.value,
    responseStartDeadlineAt: deadlineAt,
    deadline,
    signal: AbortSignal.any([call.signal, deadline.signal]),
    attempts: 0,
    mayHaveRun: false,
  };
  const failure = await runAttempts(run);
  deadline.clear();
  return failure && concludeRequest(failure, { mayHaveRun: run.mayHaveRun, delivered: 0 });
}

async function prepareBody(call: ServiceCall): Promise<Result<ServiceRequest['body'], Failure>> {
  const { body } = call;
  if (!body) return ok(undefined);
  if (body.bytes === undefined || body.bytes > MAX_BUFFERED_BYTES) return ok(body.stream);
  return body.readWhole(MAX_BUFFERED_BYTES);
}

async function runAttempts(run: CallRun): Promise<Failure | undefined> {
  let excluded: readonly string[] = [];
  for (;;) {
    await run.parts.pauseDetector.whenRefreshed();
    if (run.signal.aborted) return createAbortFailure(run, run.mayHaveRun);
    const choice = chooseServiceInstance(run.parts, run.service, excluded);
    if (choice.kind === 'none') return createNoCapacityFailure(run.call.service);
    if (choice.kind === 'coolingDown')
      return createNoCapacityFailure(run.call.service, choice.leftMs);
    const { instance } = choice;
    run.attempts += 1;
    if (run.attempts === 1) recordFirstAttempt(run, instance.instance);
    const end = await runAttempt(run, instance.instance, instance.address);
    switch (end.kind) {
      case 'answered':
        return undefined;
      case 'givenUp':
        return end.failure;
      default:
    }
    run.mayHaveRun ||= end.kind !== 'notSent' && end.kind !== 'refused';
    const decision = run.parts.retries.decide(createRetryContext(run, end, instance.instance));
    if (decision.kind === 'answer') return decision.failure;
    run.parts.metrics.countRetry();
    logRetry(run.parts.context.logger, run.call, decision, end);
    excluded = [decision.exclude];
    await sleep(decision.afterMs, undefined, { signal: run.signal }).catch(() => undefined);
  }
}

function recordFirstAttempt({ parts, call }: CallRun, instance: string): void {
  parts.retries.recordFirstAttempt(instance, call.caller.workspace);
}

async function runAttempt(run: CallRun, instance: string, address: string): Promise<AttemptResult> {
  const { parts, call, service, body, signal } = run;
  const targets = [instance];
  parts.attemptTracker.begin(targets);
  const start = await parts.services.call(
    address,
    buildServiceRequest(call, body, service, run.handling === 'repeatable'),
    signal,
  );
  if (start.kind === 'started') recordInstanceCooldown(parts, instance, start.answer);
  const end = start.kind === 'started' ? await relayResponse(run, instance, start.answer) : start;
  parts.attemptTracker.end(targets);
  if (end.kind === 'answered' || end.kind === 'givenUp') return end;
  if (signal.aborted) {
    const mayHaveRun = run.mayHaveRun || end.kind !== 'notSent';
    return { kind: 'givenUp', failure: createAbortFailure(run, mayHaveRun) };
  }
  reportInstanceOutcome(parts, instance, 'failed');
  return end;
}

async function relayResponse(
  run: CallRun,
  instance: string,
  answer: Parameters<ServiceOutput['relay']>[0],
): Promise<AttemptResult> {
  // The service timeout covers the start of the response; the body has until the caller's deadline.
  run.deadline.reschedule(run.call.caller.deadlineAt);
  const end = await run.output.relay(answer);
  switch (end) {
    case 'whole':
      reportInstanceOutcome(run.parts, instance, 'served');
      return { kind: 'answered' };
    case 'callerGone':
      return { kind: 'givenUp', failure: createFailure('callerGone') };
    case 'cut':
      if (!run.signal.aborted) reportInstanceOutcome(run.parts, instance, 'failed');
      // The caller's connection is already closed, so a retry could not be delivered.
      return {
        kind: 'givenUp',
        failure: createFailure('answerCut', {
          reason: 'the backend server broke off',
        }),
      };
  }
}

function createRetryContext(
  run: CallRun,
  end: AttemptEnd,
  target: string,
): Parameters<RequestParts['retries']['decide']>[0] {
  return {
    end,
    target,
    workspace: run.call.caller.workspace,
    repeatable: run.handling === 'repeatable' && isBodyReplayable(run),
    resumable: false,
    attempts: run.attempts,
    deadlineAt: run.responseStartDeadlineAt,
    mayHaveRun: run.mayHaveRun,
  };
}

/** A streamed body can't be sent again once it has been read from. */
function isBodyReplayable({ body, call }: CallRun): boolean {
  return body === undefined || body instanceof Uint8Array || !call.body?.stream.readableDidRead;
}

/** Failure for a call whose caller disconnected, whose deadline passed or whose entry stops. */
function createAbortFailure({ call }: CallRun, mayHaveRun: boolean): Failure {
  if (isGraceOver(call)) return createStoppingFailure(mayHaveRun);
  if (call.signal.aborted) return createFailure('callerGone');
  return createFailure(mayHaveRun ? 'deadlineAfterStart' : 'deadlineBeforeStart');
}
