/**
 * Writes call records to the platform in batches, as planned by `planBatch`.
 */
import type { WriteOutcome } from '../../adapters/platform/types.js';
import {
  admitClaim,
  createBatching,
  recordBatchFailure,
  recordBatchSuccess,
  planBatch,
  type ClaimAdmission,
  type WaitingWrite,
  type WriteEvent,
} from '../../controllers/calls/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { EntryContext } from '../types.js';

/** Submits writes of call records to the platform. */
export interface RecordWriter {
  /** Whether a claim may be submitted now. */
  admit(): ClaimAdmission;
  submit(write: WaitingWrite['write'], urgency: WaitingWrite['urgency']): void;
  /** Number of writes that are queued or in progress. */
  pending(): number;
  /** Stops sending; queued writes are dropped. */
  close(): void;
}

type WriterContext = Pick<EntryContext, 'board' | 'clock' | 'random' | 'logger' | 'platform'>;

/** Creates a writer that calls `report` once for each finished write, never within `submit`. */
export function createRecordWriter(
  context: WriterContext,
  report: (name: string, event: WriteEvent) => void,
): RecordWriter {
  const { board, clock, random, logger, platform } = context;
  const batching = createBatching();
  let timer: NodeJS.Timeout | undefined;
  let closed = false;

  function sendDueBatches(): void {
    clearTimeout(timer);
    timer = undefined;
    if (closed) return;
    const entries = board.peers.read().size + 1;
    const plan = planBatch(batching, entries, clock.now());
    switch (plan.kind) {
      case 'idle':
        return;
      case 'wait':
        timer = setTimeout(sendDueBatches, Math.max(1, plan.until - clock.now()));
        return;
      case 'send':
        void send(plan.batch);
        sendDueBatches();
    }
  }

  async function send(batch: readonly WaitingWrite[]): Promise<void> {
    const result = await platform.writeBatch(batch.map(({ write }) => write));
    if (result.isErr()) {
      reportFailure(batch, result.error);
    } else if (result.value.length !== batch.length) {
      const reason = 'a batch was answered with another number of results';
      reportFailure(batch, createFailure('messageInvalid', { from: 'the platform', reason }));
    } else {
      reportOutcomes(batch, result.value);
    }
    sendDueBatches();
  }

  function reportOutcomes(batch: readonly WaitingWrite[], outcomes: readonly WriteOutcome[]): void {
    if (batching.failures > 0) logger.log('callRecordsAvailable');
    recordBatchSuccess(batching);
    batch.forEach((waiting, index) => {
      const outcome = outcomes[index];
      if (outcome !== undefined) report(waiting.write.name, toEvent(waiting, outcome));
    });
  }

  function reportFailure(batch: readonly WaitingWrite[], failure: Failure): void {
    if (batching.failures === 0) logger.log('callRecordsUnavailable', { reason: failure.message });
    const rejected = recordBatchFailure(batching, clock.now(), random, failure.retryAfterMs);
    // Only `platformUnavailable` guarantees that the writes had no effect and never will.
    const mayTakeEffect = failure.kind !== 'platformUnavailable';
    for (const { write } of batch) {
      report(write.name, {
        kind: 'writeFailed',
        nonce: write.nonce,
        failure,
        mayTakeEffect,
      });
    }
    for (const { write } of rejected) {
      report(write.name, {
        kind: 'writeFailed',
        nonce: write.nonce,
        failure,
        mayTakeEffect: false,
      });
    }
  }

  return {
    admit: () => admitClaim(batching, clock.now()),
    submit: (write, urgency) => {
      const characters = JSON.stringify(write.value).length;
      batching.waiting.push({ write, urgency, characters });
      // Requests that arrive in the same turn of the event loop share a batch.
      queueMicrotask(sendDueBatches);
    },
    pending: () => batching.waiting.length + batching.inFlight,
    close: () => {
      closed = true;
      clearTimeout(timer);
    },
  };
}

function toEvent({ write }: WaitingWrite, outcome: WriteOutcome): WriteEvent {
  switch (outcome.kind) {
    case 'written':
      return { kind: 'written', nonce: write.nonce, version: outcome.object.version };
    case 'conflict':
      return { kind: 'conflict', nonce: write.nonce, current: outcome.current };
  }
}
