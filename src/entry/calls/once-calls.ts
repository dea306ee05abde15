/**
 * Runs calls that may run only once: feeds the state machine of each and performs its actions.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  beginCall,
  checkKey,
  isFateOpen,
  isSameCall,
  joinOpenCall,
  MAX_HELD_ANSWER_BYTES,
  MAX_OPEN_CALLS,
  nameRecord,
  observeClaim,
  stepCall,
  UNAVAILABLE_RETRY_MS,
  type CallAction,
  type CallEvent,
  type CallFacts,
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

/** Longest wait for records to be settled when the entry stops, in ms. */
const MAX_STOP_WAIT_MS = 10_000;

/**
 * Longest wait of a repeat for the record of a call that was given up, in ms: three tries of a
 * write, each within its default timeout of two seconds, and the pauses between them.
 */
const MAX_RECORD_WAIT_MS = 6_500;

/** What tests replace. */
export interface OnceCallsOptions {
  /** Compared with the time in keys alone. */
  wallClock?: WallClock;
  collector?: RecordCollector;
}

/** One call that this entry has open: in progress, or its record not settled. */
interface OpenCall {
  progress: CallProgress;
  age: KeyAge;
  send: () => Promise<SendOutcome>;
  resolve: (outcome: OnceOutcome) => void;
  deadline: NodeJS.Timeout | undefined;
  /** What the record says is known here, or the platform does not take the write that tells. */
  recordLearnt: Promise<void>;
  noteRecordLearnt: () => void;
}

/**
 * The calls of one entry that may run only once.
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
  const open = new Map<string, OpenCall>();
  const observed: ObservedClaims = new Map();
  const writer = createRecordWriter(context, handle);
  const claimant = { entry: identity.name, incarnation: identity.incarnation };
  let heldBytes = 0;
  let stopping = false;
  let whenEmpty: (() => void) | undefined;

  function createFacts(): CallFacts {
    const now = clock.now();
    return {
      now,
      claimant,
      createNonce: randomUUID,
      isClaimantLost: (record, stored) =>
        observeClaim(
          observed,
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
    const before = open.get(name);
    if (before) return joinOpen(name, before, call, send);
    const refusal = stopping ? createFailure('stopping') : refuseNew();
    if (refusal) return refuse(refusal);
    return new Promise((resolve) => {
      const step = beginCall(name, call, createFacts());
      const deadline = startDeadline(name, call);
      const learnt = createWaiting();
      const started: OpenCall = {
        progress: step.progress,
        age: age.value,
        send,
        resolve,
        deadline,
        recordLearnt: learnt.whenDone,
        noteRecordLearnt: learnt.done,
      };
      open.set(name, started);
      perform(started, step);
    });
  }

  /** A repeat of a call whose record decides waits for it, at most until its own deadline. */
  async function joinOpen(
    name: string,
    before: OpenCall,
    call: OnceCall,
    send: () => Promise<SendOutcome>,
  ): Promise<OnceOutcome> {
    if (!isFateOpen(before.progress) || !isSameCall(call, before.progress.call)) {
      return joinOpenCall(before.progress, call);
    }
    await waitForRecord(before, call.deadlineAt);
    const after = open.get(name);
    return after ? joinOpenCall(after.progress, call) : run(call, send);
  }

  async function waitForRecord(
    { recordLearnt }: OpenCall,
    deadlineAt: Milliseconds = Number.POSITIVE_INFINITY,
  ): Promise<void> {
    const left = Math.min(MAX_RECORD_WAIT_MS, Math.max(0, deadlineAt - clock.now()));
    const ended = new AbortController();
    const limit = sleep(left, undefined, { signal: ended.signal }).catch(() => undefined);
    await Promise.race([recordLearnt, limit]);
    ended.abort();
  }

  function refuseNew(): Failure | undefined {
    const admission = writer.admit();
    if (admission.kind === 'refuse') {
      const reason = 'the platform does not take it';
      return createFailure('recordUnavailable', { reason }, admission.retryAfterMs);
    }
    // Bounds what an outage can pile up here; every open call is settled once the platform is back.
    if (open.size >= MAX_OPEN_CALLS || heldBytes >= MAX_HELD_ANSWER_BYTES) {
      const reason = 'too many records are not settled yet';
      return createFailure('recordUnavailable', { reason }, UNAVAILABLE_RETRY_MS);
    }
    return undefined;
  }

  function startDeadline(name: string, call: OnceCall): NodeJS.Timeout | undefined {
    if (call.deadlineAt === undefined) return undefined;
    const left = Math.max(0, call.deadlineAt - clock.now());
    return setTimeout(() => {
      handle(name, { kind: 'deadlinePassed' });
    }, left);
  }

  function handle(name: string, event: CallEvent): void {
    const call = open.get(name);
    if (call) perform(call, stepCall(call.progress, event, createFacts()));
  }

  function perform(call: OpenCall, step: CallStep): void {
    heldBytes += heldBy(step.progress) - heldBy(call.progress);
    call.progress = step.progress;
    for (const action of step.actions) performAction(call, action);
    if (call.progress.phase.kind === 'ended') close(call);
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
        call.noteRecordLearnt();
        // The writer holds the write back for as long as the platform is to be left alone.
        queueMicrotask(() => {
          handle(call.progress.name, { kind: 'retryDue' });
        });
        return;
      case 'settled':
        collector.note(call.progress.name, action.version, call.age);
        return;
    }
  }

  async function send(call: OpenCall): Promise<void> {
    const outcome = await call.send().catch(describeCrash);
    handle(call.progress.name, { kind: 'sendEnded', outcome });
  }

  /**
   * Records that cannot be settled in an outage do not hold up the stop for ever: their claims
   * stay, and the other entries record the outcome as unknown.
   */
  function waitUntilEmpty(): Promise<void> {
    if (open.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, MAX_STOP_WAIT_MS);
      whenEmpty = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  function close(call: OpenCall): void {
    clearTimeout(call.deadline);
    if (open.get(call.progress.name) === call) open.delete(call.progress.name);
    call.noteRecordLearnt();
    if (open.size === 0) whenEmpty?.();
  }

  return {
    run,
    start: () => {
      collector.start();
    },
    stop: async () => {
      stopping = true;
      await waitUntilEmpty();
      writer.close();
      await collector.stop();
    },
  };
}

function createWaiting(): { whenDone: Promise<void>; done: () => void } {
  let done = (): void => undefined;
  const whenDone = new Promise<void>((resolve) => {
    done = resolve;
  });
  return { whenDone, done };
}

function heldBy({ phase }: CallProgress): number {
  if (phase.kind !== 'settling') return 0;
  return phase.state.kind === 'answered' ? phase.state.body.length : 0;
}

function refuse(failure: Failure): Promise<OnceOutcome> {
  return Promise.resolve({ kind: 'failed', failure });
}

/** A send that threw may have reached the backend server. */
function describeCrash(): SendOutcome {
  const reason = 'an unexpected error met the call after it was begun';
  return { kind: 'unknown', failure: createFailure('outcomeUnknown', { reason }) };
}
