/**
 * Runs calls to plain services that need no record: repeatable ones and those sent a single time.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { ok, type Result } from 'neverthrow';
import type { ServiceCall, ServiceOutput } from '../../adapters/callers/index.js';
import type { ServiceRequest } from '../../adapters/services/index.js';
import {
  concludeRequest,
  resolveCallHandling,
  resolveService,
  type CallHandling,
} from '../../controllers/attempts/index.js';
import type { AttemptEnd } from '../../controllers/retries/types.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { Service } from '../../objects/index.js';
import { createDeadline, type Deadline } from './deadline.js';
import { chooseServiceInstance, reportInstance } from './service-instances.js';
import { runOnceCall } from './once-calls.js';
import { logRetry } from './request-log.js';
import { composeRequest, createNoCapacity } from './service-request.js';
import type { RequestParts } from './types.js';

/** Bodies up to this size are held, so that a call can be sent again; larger ones are streamed. */
const MAX_HELD_BYTES = 65_536;

/** One call under way. */
interface CallRun {
  parts: RequestParts;
  call: ServiceCall;
  output: ServiceOutput;
  service: Service;
  handling: CallHandling;
  body: ServiceRequest['body'];
  /** For the beginning of the answer. */
  deadlineAt: Milliseconds;
  deadline: Deadline;
  /** Aborted when the caller is gone or the deadline has passed. */
  signal: AbortSignal;
  attempts: number;
  mayHaveRun: boolean;
}

/** How one attempt ended: with an answer for the caller, or as the retry decision needs it. */
type CallEnd = { kind: 'answered' } | { kind: 'givenUp'; failure: Failure } | AttemptEnd;

/** Serves one call of a plain service. The failure to answer with when the caller got nothing. */
export async function runServiceCall(
  parts: RequestParts,
  call: ServiceCall,
  output: ServiceOutput,
): Promise<Failure | undefined> {
  const { workspace } = call.caller;
  const resolved = resolveCall(parts, call);
  if (resolved.isErr()) return resolved.error;
  const asked = { workspace, tokens: 0 };
  parts.inFlight.recordAsked(workspace, 0);
  const admission = parts.admission.admit(asked);
  const failure =
    admission.kind === 'refused'
      ? admission.failure
      : await runAdmitted(parts, call, output, resolved.value);
  if (admission.kind === 'admitted') parts.admission.release(asked, 0);
  parts.inFlight.recordAnswered(workspace);
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
      : await runPlainCall(parts, call, output, service, handling);
  timings.whole(clock.now() - startedAt);
  return failure;
}

async function runPlainCall(
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
    deadlineAt,
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
  if (body.bytes === undefined || body.bytes > MAX_HELD_BYTES) return ok(body.stream);
  return body.readWhole(MAX_HELD_BYTES);
}

async function runAttempts(run: CallRun): Promise<Failure | undefined> {
  let excluded: readonly string[] = [];
  for (;;) {
    await run.parts.pauses.whenCurrent();
    if (run.signal.aborted) return explainGiveUp(run, run.mayHaveRun);
    const instance = chooseServiceInstance(run.parts, run.service, excluded);
    if (!instance) return createNoCapacity(run.call.service);
    run.attempts += 1;
    if (run.attempts === 1) recordFirst(run, instance.instance);
    const end = await attempt(run, instance.instance, instance.address);
    switch (end.kind) {
      case 'answered':
        return undefined;
      case 'givenUp':
        return end.failure;
      default:
    }
    run.mayHaveRun ||= end.kind !== 'notSent' && end.kind !== 'refused';
    const decision = run.parts.retries.decide(describeEnd(run, end, instance.instance));
    if (decision.kind === 'answer') return decision.failure;
    run.parts.metrics.countRetry();
    logRetry(run.parts.context.logger, run.call, decision, end);
    excluded = [decision.exclude];
    await sleep(decision.afterMs, undefined, { signal: run.signal }).catch(() => undefined);
  }
}

function recordFirst({ parts, call }: CallRun, instance: string): void {
  parts.retries.recordFirst(instance, call.caller.workspace);
}

async function attempt(run: CallRun, instance: string, address: string): Promise<CallEnd> {
  const { parts, call, service, body, signal } = run;
  const targets = [instance];
  parts.inFlight.begin(targets);
  const start = await parts.services.call(
    address,
    composeRequest(call, body, service, run.handling === 'repeatable'),
    signal,
  );
  const end = start.kind === 'started' ? await relay(run, instance, start.answer) : start;
  parts.inFlight.end(targets);
  if (end.kind === 'answered' || end.kind === 'givenUp') return end;
  if (signal.aborted) {
    const begun = run.mayHaveRun || end.kind !== 'notSent';
    return { kind: 'givenUp', failure: explainGiveUp(run, begun) };
  }
  reportInstance(parts, instance, 'failed');
  return end;
}

async function relay(
  run: CallRun,
  instance: string,
  answer: Parameters<ServiceOutput['relay']>[0],
): Promise<CallEnd> {
  // A large answer may take longer than its beginning was waited for.
  run.deadline.moveTo(run.call.caller.deadlineAt);
  const end = await run.output.relay(answer);
  switch (end) {
    case 'whole':
      reportInstance(run.parts, instance, 'served');
      return { kind: 'answered' };
    case 'callerGone':
      return { kind: 'givenUp', failure: createFailure('callerGone') };
    case 'cut':
      if (!run.signal.aborted) reportInstance(run.parts, instance, 'failed');
      // The caller's connection is closed by now; nothing can be sent again on it.
      return {
        kind: 'givenUp',
        failure: createFailure('answerCut', { reason: 'the backend server broke off' }),
      };
  }
}

function describeEnd(
  run: CallRun,
  end: AttemptEnd,
  target: string,
): Parameters<RequestParts['retries']['decide']>[0] {
  return {
    end,
    target,
    workspace: run.call.caller.workspace,
    repeatable: run.handling === 'repeatable' && canSendAgain(run),
    resumable: false,
    attempts: run.attempts,
    deadlineAt: run.deadlineAt,
    mayHaveRun: run.mayHaveRun,
  };
}

/** A streamed body is gone once it has been read from. */
function canSendAgain({ body, call }: CallRun): boolean {
  return body === undefined || body instanceof Uint8Array || !call.body?.stream.readableDidRead;
}

/** What the caller is told when it left or its deadline passed. */
function explainGiveUp({ call }: CallRun, begun: boolean): Failure {
  if (call.signal.aborted) return createFailure('callerGone');
  return createFailure(begun ? 'deadlineAfterStart' : 'deadlineBeforeStart');
}
