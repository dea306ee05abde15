/**
 * Runs calls to plain services that may run only once. `onceCalls` decides by the idempotency key
 * whether a call is sent; this module sends it.
 */
import { createHash } from 'node:crypto';
import { ok } from 'neverthrow';
import { isGraceOver, type ServiceCall, type ServiceOutput } from '../../adapters/callers/index.js';
import type { ServiceAnswer } from '../../adapters/services/index.js';
import { createStoppingFailure } from '../../controllers/attempts/index.js';
import type { OnceOutcome, SendOutcome, StoredAnswer } from '../../controllers/calls/types.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { Service } from '../../objects/index.js';
import {
  chooseServiceInstance,
  recordInstanceCooldown,
  reportInstanceOutcome,
} from './service-instances.js';
import { buildServiceRequest, createNoCapacityFailure } from './service-request.js';
import type { RequestParts } from './types.js';

/** Largest response that is read; up to this size it is relayed even if too large to store. */
const MAX_RESPONSE_BYTES = 8_388_608;
/** Maximum number of instances tried when connections fail. */
const MAX_CONNECTION_ATTEMPTS = 3;

/** A call in progress, with its complete body. */
interface OnceCallRun {
  parts: RequestParts;
  call: ServiceCall;
  service: Service;
  body: Uint8Array | undefined;
}

/** Serves a call that may run only once. Returns a failure if no response was sent. */
export async function runOnceCall(
  parts: RequestParts,
  call: ServiceCall,
  service: Service,
  output: ServiceOutput,
): Promise<Failure | undefined> {
  const key = call.idempotencyKey;
  if (key === undefined) return createFailure('keyRequired', { name: call.service });
  const maxBytes = parts.context.settings.callers.maxBodyBytes;
  const body = call.body ? await call.body.readWhole(maxBytes) : ok(undefined);
  if (body.isErr()) return body.error;
  const run: OnceCallRun = { parts, call, service, body: body.value };
  const onceCall = {
    workspace: call.caller.workspace,
    service: call.service,
    key,
    fingerprint: createFingerprint(run),
    deadlineAt: call.caller.deadlineAt,
  };
  const outcome = await Promise.race([
    parts.onceCalls.run(onceCall, () => sendTracked(run)),
    whenGraceIsOver(call),
  ]);
  if (outcome.kind === 'failed') return outcome.failure;
  output.send(outcome.answer, outcome.replayed);
  return undefined;
}

/** The call goes on until its record is settled, but its caller can't be answered after this. */
function whenGraceIsOver(call: ServiceCall): Promise<OnceOutcome> {
  return new Promise((resolve) => {
    const end = (): void => {
      if (isGraceOver(call)) resolve({ kind: 'failed', failure: createStoppingFailure(true) });
    };
    call.signal.addEventListener('abort', end, { once: true });
    end();
  });
}

function createFingerprint({ call, body }: OnceCallRun): string {
  const hash = createHash('sha256').update(`${call.method}\n${call.path}${call.query}\n`);
  return hash.update(body ?? '').digest('hex');
}

/** Counts the call as an open request of its own, since it may outlast the caller's request. */
async function sendTracked(run: OnceCallRun): Promise<SendOutcome> {
  run.parts.openRequests.begin();
  try {
    return await sendToFirstReachable(run);
  } finally {
    run.parts.openRequests.end();
  }
}

/**
 * Sends the call to the first instance that accepts a connection. Another instance is tried only if
 * no byte was sent, so the call can't run twice.
 */
async function sendToFirstReachable(run: OnceCallRun): Promise<SendOutcome> {
  const excluded: string[] = [];
  let retryAfterMs: Milliseconds | undefined;
  while (excluded.length < MAX_CONNECTION_ATTEMPTS) {
    await run.parts.pauseDetector.whenRefreshed();
    const choice = chooseServiceInstance(run.parts, run.service, excluded);
    if (choice.kind === 'coolingDown') retryAfterMs = choice.leftMs;
    if (choice.kind !== 'chosen') break;
    const { instance: candidate } = choice;
    const outcome = await sendToInstance(run, candidate.instance, candidate.address);
    if (outcome) return outcome;
    excluded.push(candidate.instance);
  }
  return { kind: 'notRun', failure: createNoCapacityFailure(run.call.service, retryAfterMs) };
}

/** Returns undefined if no byte was sent. */
async function sendToInstance(
  run: OnceCallRun,
  instance: string,
  address: string,
): Promise<SendOutcome | undefined> {
  const { parts, call, service, body } = run;
  const targets = [instance];
  parts.attemptTracker.begin(targets);
  const result = await parts.services.call(
    address,
    buildServiceRequest(call, body, service, false),
    // Not the caller's signal: a caller that retries with the same key gets the stored response.
    AbortSignal.timeout(service.timeoutMs),
  );
  if (result.kind === 'started') recordInstanceCooldown(parts, instance, result.answer);
  const outcome = result.kind === 'started' ? await readResponse(result.answer) : result;
  parts.attemptTracker.end(targets);
  reportInstanceOutcome(parts, instance, outcome.kind === 'answered' ? 'served' : 'failed');
  switch (outcome.kind) {
    case 'answered':
      return outcome;
    case 'notSent':
      return undefined;
    case 'lost':
      return {
        kind: 'unknown',
        failure: createFailure('outcomeUnknown', { reason: outcome.reason }),
      };
  }
}

type ReadResult = { kind: 'answered'; answer: StoredAnswer } | { kind: 'lost'; reason: string };

async function readResponse({ status, headers, body }: ServiceAnswer): Promise<ReadResult> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  try {
    for await (const chunk of body as AsyncIterable<Uint8Array>) {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes > MAX_RESPONSE_BYTES) return { kind: 'lost', reason: 'the answer is too large' };
    }
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'the answer broke off';
    return { kind: 'lost', reason };
  }
  return { kind: 'answered', answer: { status, headers, body: Buffer.concat(chunks, bytes) } };
}
