/**
 * Runs calls that may run at most once: drives the state machine of each and performs its actions.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  beginCall,
  checkKey,
  isOutcomePending,
  isSameCall,
  resolveOpenCall,
  MAX_HELD_ANSWER_BYTES,
  MAX_OPEN_CALLS,
  nameRecord,
  checkClaimantLost,
  stepCall,
  UNAVAILABLE_RETRY_MS,
  type CallAction,
  type CallEvent,
  type CallContext,
  type CallProgress,
  type CallStep,
  type KeyAge,
  type ObservedClaims,
  type OnceCall,
  type OnceCalls,
  type OnceOutcome,
  type SendOutcome,
} from '../../controllers/calls/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { EntryContext, Part } from '../types.js';
import { createRecordCollector, type RecordCollector, type WallClock } from './record-collector.js';
import { createRecordWriter } from './record-writer.js';

/** Maximum wait for records to be settled when the entry stops. */
const MAX_STOP_WAIT_MS = 10_000;

/**
 * Maximum wait of a repeated call for the record of an abandoned one. Covers three attempts of a
 * write with the default timeout of two seconds each, and the pauses between them.
 */
const MAX_RECORD_WAIT_MS = 6_500;

/** Dependencies that tests replace. */
export interface OnceCallsOptions {
  /** Compared only with the time in call keys. */
  wallClock?: WallClock;
  collector?: RecordCollector;
}

/** A call of this entry that is in progress or whose record is not settled yet. */
interface OpenCall {
  progress: CallProgress;
  age: KeyAge;
  send: () => Promise<SendOutcome>;
  resolve: (outcome: OnceOutcome) => void;
  deadline: NodeJS.Timeout | undefined;
  /** Resolves when the state of the record is known, or the write that would reveal it failed. */
  recordWait: Promise<void>;
  endRecordWait: () => void;
}

/**
 * Creates the runner of an entry's at-most-once calls.
 *
 * @example const calls = createOnceCalls(context); await calls.run(call, () => send(request));
 */
export function createOnceCalls(
  context: EntryContext,
  options: OnceCallsOptions = {},
): OnceCalls & Part {
  const { wallClock = Date.now } = options;
  const collector = options.collector ?? createRecordCollector(context, wallClock);
  const { identity, board, clock, settings } = context;
  const openCalls = new Map<string, OpenCall>();
  const observedClaims: ObservedClaims = new Map();
  const writer = createRecordWriter(context, handleEvent);
  const claimant = { entry: identity.name, incarnation: identity.incarnation };
  let heldBytes = 0;
  let stopping = false;
  let resolveEmpty: (() => void) | undefined;

  function createCallFacts(): CallContext {
    const now = clock.now();
    return {
      now,
      claimant,
      createNonce: randomUUID,
      isClaimantLost: (record, stored) =>
        checkClaimantLost(
          observedClaims,
          record,
          stored,
          claimant,
          board.peers.read(),
          settings.calls.unheardClaimMs,
          now,
        ),
    };
  }

  function run(call: OnceCall, send: () => Promise<SendOutcome>): Promise<OnceOutcome> {
    const retentionMs = board.configuration.read().policy.callRecordRetentionMs;
    const age = checkKey(call.key, wallClock(), retentionMs);
    if (age.isErr()) return refuse(age.error);
    const name = nameRecord(call);
    const existing = openCalls.get(name);
    if (existing) return joinOpen(name, existing, call, send);
    const refusal = stopping ? createFailure('stopping') : checkCapacity();
    if (refusal) return refuse(refusal);
    return new Promise((resolve) => {
      const step = beginCall(name, call, createCallFacts());
      const deadline = startDeadline(name, call);
      const recordWait = createDeferred();
      const openCall: OpenCall = {
        progress: step.progress,
        age: age.value,
        send,
        resolve,
        deadline,
        recordWait: recordWait.whenDone,
        endRecordWait: recordWait.done,
      };
      openCalls.set(name, openCall);
      applyStep(openCall, step);
    });
  }

  /** Joins an open call. If its outcome depends on its record, first waits for that. */
  async function joinOpen(
    name: string,
    existing: OpenCall,
    call: OnceCall,
    send: () => Promise<SendOutcome>,
  ): Promise<OnceOutcome> {
    if (!isOutcomePending(existing.progress) || !isSameCall(call, existing.progress.call)) {
      return resolveOpenCall(existing.progress, call);
    }
    await waitForRecord(existing, call.deadlineAt);
    const remaining = openCalls.get(name);
    return remaining ? resolveOpenCall(remaining.progress, call) : run(call, send);
  }

  async function waitForRecord(
    { recordWait: recordLearnt }: OpenCall,
    deadlineAt: Milliseconds = Number.POSITIVE_INFINITY,
  ): Promise<void> {
    const remainingMs = Math.min(MAX_RECORD_WAIT_MS, Math.max(0, deadlineAt - clock.now()));
    const timeoutController = new AbortController();
    const timeout = sleep(remainingMs, undefined, { signal: timeoutController.signal }).catch(
      () => undefined,
    );
    await Promise.race([recordLearnt, timeout]);
    timeoutController.abort();
  }

  function checkCapacity(): Failure | undefined {
    const admission = writer.admit();
    if (admission.kind === 'refuse') {
      const reason = 'the platform does not take it';
      return createFailure('recordUnavailable', { reason }, admission.retryAfterMs);
    }
    // Limits the backlog during an outage; open calls are settled once the platform is back.
    if (openCalls.size >= MAX_OPEN_CALLS || heldBytes >= MAX_HELD_ANSWER_BYTES) {
      const reason = 'too many records are not settled yet';
      return createFailure('recordUnavailable', { reason }, UNAVAILABLE_RETRY_MS);
    }
    return undefined;
  }

  function startDeadline(name: string, call: OnceCall): NodeJS.Timeout | undefined {
    if (call.deadlineAt === undefined) return undefined;
    const remainingMs = Math.max(0, call.deadlineAt - clock.now());
    return setTimeout(() => {
      handleEvent(name, { kind: 'deadlinePassed' });
    }, remainingMs);
  }

  function handleEvent(name: string, event: CallEvent): void {
    const call = openCalls.get(name);
    if (call) applyStep(call, stepCall(call.progress, event, createCallFacts()));
  }

  function applyStep(call: OpenCall, step: CallStep): void {
    heldBytes += countHeldBytes(step.progress) - countHeldBytes(call.progress);
    call.progress = step.progress;
    for (const action of step.actions) performAction(call, action);
    if (call.progress.phase.kind === 'ended') closeCall(call);
  }

  function performAction(call: OpenCall, action: CallAction): void {
    switch (action.kind) {
      case 'write':
        writer.submit(action.write, action.urgency);
        return;
      case 'send':
        void send(call);
        return;
      case 'answer':
        clearTimeout(call.deadline);
        call.resolve(action.outcome);
        return;
      case 'retryLater':
        call.endRecordWait();
        // The writer delays the write until its backoff for the platform has passed.
        queueMicrotask(() => {
          handleEvent(call.progress.name, { kind: 'retryDue' });
        });
        return;
      case 'settled':
        collector.trackSettled(call.progress.name, action.version, call.age);
        return;
    }
  }

  async function send(call: OpenCall): Promise<void> {
    const outcome = await call.send().catch(describeUnexpectedError);
    handleEvent(call.progress.name, { kind: 'sendEnded', outcome });
  }

  /**
   * Waits a limited time, since records can't be settled during an outage. Their claims remain, and
   * other entries record the outcome as unknown.
   */
  function waitUntilSettled(): Promise<void> {
    if (openCalls.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, MAX_STOP_WAIT_MS);
      resolveEmpty = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  function closeCall(call: OpenCall): void {
    clearTimeout(call.deadline);
    if (openCalls.get(call.progress.name) === call) openCalls.delete(call.progress.name);
    call.endRecordWait();
    if (openCalls.size === 0) resolveEmpty?.();
  }

  return {
    run,
    start: () => {
      collector.start();
    },
    stop: async () => {
      stopping = true;
      await waitUntilSettled();
      writer.close();
      await collector.stop();
    },
  };
}

function createDeferred(): { whenDone: Promise<void>; done: () => void } {
  let done = (): void => undefined;
  const whenDone = new Promise<void>((resolve) => {
    done = resolve;
  });
  return { whenDone, done };
}

function countHeldBytes({ phase }: CallProgress): number {
  if (phase.kind !== 'settling') return 0;
  return phase.state.kind === 'answered' ? phase.state.body.length : 0;
}

function refuse(failure: Failure): Promise<OnceOutcome> {
  return Promise.resolve({ kind: 'failed', failure });
}

/** The outcome is unknown, since the request may have reached the backend server. */
function describeUnexpectedError(): SendOutcome {
  const reason = 'an unexpected error met the call after it was begun';
  return { kind: 'unknown', failure: createFailure('outcomeUnknown', { reason }) };
}
