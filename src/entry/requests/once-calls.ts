/**
 * Runs calls to plain services that may run only once: the record decides, this sends.
 */
import { createHash } from 'node:crypto';
import { ok } from 'neverthrow';
import type { ServiceCall, ServiceOutput } from '../../adapters/callers/index.js';
import type { ServiceAnswer } from '../../adapters/services/index.js';
import type { SendOutcome, StoredAnswer } from '../../controllers/calls/types.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { Service } from '../../objects/index.js';
import { chooseServiceInstance, reportInstance } from './service-instances.js';
import { composeRequest, createNoCapacity } from './service-request.js';
import type { RequestParts } from './types.js';

/** Largest answer that is read; one too large for a record is still passed on. */
const MAX_ANSWER_BYTES = 8_388_608;
/** Instances tried when none of those before could be connected to. */
const MAX_INSTANCES = 3;

/** One call under way, with its whole body. */
interface OnceRun {
  parts: RequestParts;
  call: ServiceCall;
  service: Service;
  body: Uint8Array | undefined;
}

/** Serves one call that may run only once. */
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
  const run: OnceRun = { parts, call, service, body: body.value };
  const once = {
    workspace: call.caller.workspace,
    service: call.service,
    key,
    fingerprint: createFingerprint(run),
    deadlineAt: call.caller.deadlineAt,
  };
  const outcome = await parts.onceCalls.run(once, () => sendCounted(run));
  if (outcome.kind === 'failed') return outcome.failure;
  output.send(outcome.answer, outcome.replayed);
  return undefined;
}

function createFingerprint({ call, body }: OnceRun): string {
  const hash = createHash('sha256').update(`${call.method}\n${call.path}${call.query}\n`);
  return hash.update(body ?? '').digest('hex');
}

/** The caller may be answered before the call has ended, so it counts as open by itself. */
async function sendCounted(run: OnceRun): Promise<SendOutcome> {
  run.parts.open.begin();
  try {
    return await sendToOne(run);
  } finally {
    run.parts.open.end();
  }
}

/**
 * Sends the call to the first instance that takes a connection. Trying another one is safe only
 * because no byte can have reached the one before; after that the call is never sent again.
 */
async function sendToOne(run: OnceRun): Promise<SendOutcome> {
  const excluded: string[] = [];
  while (excluded.length < MAX_INSTANCES) {
    await run.parts.pauses.whenCurrent();
    const chosen = chooseServiceInstance(run.parts, run.service, excluded);
    if (!chosen) break;
    const outcome = await sendTo(run, chosen.instance, chosen.address);
    if (outcome) return outcome;
    excluded.push(chosen.instance);
  }
  return { kind: 'notRun', failure: createNoCapacity(run.call.service) };
}

/** Undefined when no byte was sent. */
async function sendTo(
  run: OnceRun,
  instance: string,
  address: string,
): Promise<SendOutcome | undefined> {
  const { parts, call, service, body } = run;
  const targets = [instance];
  parts.inFlight.begin(targets);
  const start = await parts.services.call(
    address,
    composeRequest(call, body, service, false),
    // Not the caller's signal: a caller that comes back with the same key gets the stored answer.
    AbortSignal.timeout(service.timeoutMs),
  );
  const outcome = start.kind === 'started' ? await readAnswer(start.answer) : start;
  parts.inFlight.end(targets);
  reportInstance(parts, instance, outcome.kind === 'answered' ? 'served' : 'failed');
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

type Reading = { kind: 'answered'; answer: StoredAnswer } | { kind: 'lost'; reason: string };

async function readAnswer({ status, headers, body }: ServiceAnswer): Promise<Reading> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  try {
    for await (const chunk of body as AsyncIterable<Uint8Array>) {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes > MAX_ANSWER_BYTES) return { kind: 'lost', reason: 'the answer is too large' };
    }
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'the answer broke off';
    return { kind: 'lost', reason };
  }
  return { kind: 'answered', answer: { status, headers, body: Buffer.concat(chunks, bytes) } };
}
