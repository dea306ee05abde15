/**
 * Steps of a call whose record this entry tries to claim, or finds claimed by a lost entry.
 */
import { createFailure } from '../../core/errors/index.js';
import type { StoredObject } from '../../objects/index.js';
import { UNAVAILABLE_RETRY_MS } from './constants.js';
import { judgeRecord } from './record-decision.js';
import type { CallFacts, CallPhase, CallProgress, CallStep, WriteEvent } from './call-state.js';
import {
  ABSENT,
  answer,
  answerFailure,
  claim,
  end,
  join,
  settle,
  settled,
  type Phase,
} from './transitions.js';

/** A claim's write ended. */
export function stepClaim(
  progress: CallProgress,
  phase: Phase<'claiming'>,
  event: WriteEvent,
  facts: CallFacts,
): CallStep {
  switch (event.kind) {
    case 'written':
      return startSending(progress, phase, event.version, facts);
    case 'conflict':
      // The claim took effect and its answer was lost: the nonce is this claim's own.
      if (event.current?.nonce === phase.nonce) {
        return startSending(progress, phase, event.current.version, facts);
      }
      return meetRecord(progress, event.current, facts);
    case 'writeFailed':
      return abandonClaim(progress, phase, event, facts);
  }
}

function startSending(
  progress: CallProgress,
  phase: Phase<'claiming'>,
  version: number,
  facts: CallFacts,
): CallStep {
  const { deadlineAt } = progress.call;
  const late = deadlineAt !== undefined && facts.now >= deadlineAt;
  // A process that was paused after claiming wakes up here: its caller may be long gone.
  if (progress.answered || late) {
    const refusal = answerFailure(progress, createFailure('deadlineBeforeStart'));
    const settlement = settle(refusal.progress, phase.nonce, version, { kind: 'notRun' }, facts);
    return join(refusal, settlement);
  }
  const sending: CallPhase = { kind: 'sending', nonce: phase.nonce, version };
  return { progress: { ...progress, phase: sending }, actions: [{ kind: 'send' }] };
}

function abandonClaim(
  progress: CallProgress,
  phase: Phase<'claiming'>,
  event: Extract<WriteEvent, { kind: 'writeFailed' }>,
  facts: CallFacts,
): CallStep {
  const reason = event.failure.message;
  const retryAfterMs = event.failure.retryAfterMs ?? UNAVAILABLE_RETRY_MS;
  const failure = createFailure('recordUnavailable', { reason }, retryAfterMs);
  const refusal = answerFailure(progress, failure);
  if (!event.left) return join(refusal, end(refusal.progress));
  const waiting: CallPhase = {
    kind: 'settling',
    nonce: facts.createNonce(),
    claimNonce: phase.nonce,
    expected: phase.expected,
    state: { kind: 'notRun' },
  };
  return {
    progress: { ...refusal.progress, phase: waiting },
    actions: [...refusal.actions, { kind: 'retryLater' }],
  };
}

function meetRecord(
  progress: CallProgress,
  current: StoredObject | undefined,
  facts: CallFacts,
): CallStep {
  // The caller was given up while the claim was under way: the key is left as it is.
  if (progress.answered) return end(progress);
  const verdict = judgeRecord(progress.call, current, facts);
  switch (verdict.kind) {
    case 'answer': {
      const answered = answer(progress, verdict.outcome);
      return join(answered, end(answered.progress));
    }
    case 'claim':
      return claim(progress, verdict.expected, facts);
    case 'giveUp': {
      const nonce = facts.createNonce();
      const { name } = progress;
      const value = { ...verdict.record, state: { kind: 'unknown' } };
      const write = {
        kind: 'call-record',
        name,
        expected: verdict.expected,
        nonce,
        value,
      } as const;
      return {
        progress: { ...progress, phase: { kind: 'givingUp', nonce } },
        actions: [{ kind: 'write', write, urgency: 'claim' }],
      };
    }
  }
}

/** The write that gives up a lost entry's claim ended. */
export function stepGiveUp(
  progress: CallProgress,
  phase: Phase<'givingUp'>,
  event: WriteEvent,
  facts: CallFacts,
): CallStep {
  if (event.kind === 'writeFailed') {
    const answered = answerFailure(
      progress,
      createFailure('callInProgress', undefined, UNAVAILABLE_RETRY_MS),
    );
    return join(answered, end(answered.progress));
  }
  const own = event.kind === 'conflict' && event.current?.nonce === phase.nonce;
  if (event.kind === 'conflict' && !own) return meetRecord(progress, event.current, facts);
  const version = event.kind === 'written' ? event.version : (event.current?.version ?? ABSENT);
  const reason = 'the entry that ran it was lost';
  const answered = answerFailure(progress, createFailure('outcomeUnknown', { reason }));
  return join(answered, settled(answered.progress, version));
}
