/**
 * Runs the call state machine of several entries with a random order of events and faults.
 *
 * Which claimants count as lost is random too, as the guarantees must not depend on that detection.
 */
import type { PlatformWrite } from '../../src/adapters/platform/index.js';
import {
  beginCall,
  resolveOpenCall,
  nameRecord,
  stepCall,
  type CallAction,
  type CallEvent,
  type CallProgress,
  type CallStep,
  type OnceCall,
  type OnceOutcome,
  type SendOutcome,
} from '../../src/controllers/calls/index.js';
import { getConclusion, createFailure } from '../../src/core/errors/index.js';
import { FakePlatform } from './fake-platform.js';

const ENTRIES = 3;
const KEYS = 2;

/** A caller's request and its result. */
export interface Request {
  key: string;
  outcome: OnceOutcome | undefined;
  executions: number;
}

interface OpenCall {
  progress: CallProgress;
  request: Request;
}

interface Entry {
  index: number;
  incarnation: number;
  openCalls: Map<string, OpenCall>;
}

/** Recipient of an event, which is dropped if the entry has restarted since. */
interface Target {
  entry: Entry;
  incarnation: number;
  name: string;
}

/** An event that may be processed next. */
type PendingEvent =
  | { kind: 'write'; write: PlatformWrite; target: Target }
  /** Abandoned by its entry, but may still take effect. */
  | { kind: 'lateWrite'; write: PlatformWrite }
  | { kind: 'send'; request: Request; target: Target }
  | { kind: 'sendEnd'; outcome: SendOutcome; target: Target }
  | { kind: 'retry'; target: Target };

/** Returns a random integer from 0 up to but excluding `bound`. */
export type Draw = (bound: number) => number;

export interface Options {
  /** Whether entries may restart and live claimants may be considered lost. */
  entryFailures: boolean;
}

export class Interleaving {
  readonly requests: Request[] = [];
  readonly executedKeys: string[] = [];
  readonly #platform = new FakePlatform();
  readonly #entries: Entry[] = [];
  readonly #options: Options;
  #pendingEvents: PendingEvent[] = [];
  #nonces = 0;
  #draw: Draw = () => 0;

  constructor(options: Options) {
    this.#options = options;
    for (let index = 0; index < ENTRIES; index += 1) {
      this.#entries.push({ index, incarnation: 0, openCalls: new Map() });
    }
  }

  /** Runs one randomly chosen event. */
  runRandomEvent(draw: Draw): void {
    this.#draw = draw;
    const choice = draw(10);
    if (choice === 0) this.request(draw(ENTRIES), `k${draw(KEYS)}`);
    else if (choice === 1 && this.#options.entryFailures && draw(4) === 0)
      this.#restartEntry(draw(ENTRIES));
    else if (choice === 2) this.#passDeadline(draw(ENTRIES), draw(KEYS));
    else this.#processRandomEvent(draw);
  }

  /** Processes all pending events without further faults until none is left. */
  runPendingEvents(): void {
    while (this.#pendingEvents.length > 0) this.#process(this.#takeEvent(0), () => 0);
  }

  request(entryIndex: number, key: string): Request {
    const entry = this.#entry(entryIndex);
    const call: OnceCall = { workspace: 'w', service: 's', key, fingerprint: 'f' };
    const request: Request = { key, outcome: undefined, executions: 0 };
    this.requests.push(request);
    const name = nameRecord(call);
    const openCall = entry.openCalls.get(name);
    if (openCall) {
      request.outcome = resolveOpenCall(openCall.progress, call);
      return request;
    }
    const step = beginCall(name, call, this.#createContext(entry));
    const open = { progress: step.progress, request };
    entry.openCalls.set(name, open);
    this.#applyStep(entry, open, step);
    return request;
  }

  #processRandomEvent(draw: Draw): void {
    if (this.#pendingEvents.length === 0) return;
    this.#process(this.#takeEvent(draw(this.#pendingEvents.length)), draw);
  }

  #process(event: PendingEvent, draw: Draw): void {
    switch (event.kind) {
      case 'write':
        this.#write(event.write, event.target, draw(7));
        return;
      case 'lateWrite':
        this.#platform.apply(event.write);
        return;
      case 'send':
        this.#execute(event.request, event.target, draw(4));
        return;
      case 'sendEnd':
        this.#deliver(event.target, { kind: 'sendEnded', outcome: event.outcome });
        return;
      case 'retry':
        this.#deliver(event.target, { kind: 'retryDue' });
        return;
    }
  }

  /** Draws 0 to 2 succeed, so that most runs make progress. */
  #write(write: PlatformWrite, target: Target, draw: number): void {
    const { nonce } = write;
    const reportFailure = (mayTakeEffect: boolean): void => {
      const reason = mayTakeEffect ? 'lost' : 'refused';
      const failure = createFailure('platformOutcomeUnknown', { reason });
      this.#deliver(target, { kind: 'writeFailed', nonce, failure, mayTakeEffect });
    };
    switch (draw) {
      case 3:
        this.#platform.apply(write);
        reportFailure(true);
        return;
      case 4:
        this.#pendingEvents.push({ kind: 'lateWrite', write });
        reportFailure(true);
        return;
      case 5:
        reportFailure(false);
        return;
      // The client retries the write after its first response was lost.
      case 6:
        this.#platform.apply(write);
        this.#answerWrite(write, target);
        return;
      default:
        this.#answerWrite(write, target);
    }
  }

  #answerWrite(write: PlatformWrite, target: Target): void {
    const { nonce } = write;
    const outcome = this.#platform.apply(write);
    const event: CallEvent =
      outcome.kind === 'written'
        ? { kind: 'written', nonce, version: outcome.object.version }
        : { kind: 'conflict', nonce, current: outcome.current };
    this.#deliver(target, event);
  }

  #execute(request: Request, target: Target, draw: number): void {
    const unknown: SendOutcome = {
      kind: 'unknown',
      failure: createFailure('outcomeUnknown', { reason: 'cut' }),
    };
    if (draw === 2) {
      const failure = createFailure('noCapacity', { name: 's' });
      this.#pendingEvents.push({ kind: 'sendEnd', outcome: { kind: 'notRun', failure }, target });
      return;
    }
    request.executions += 1;
    this.executedKeys.push(request.key);
    const body = new Uint8Array([this.executedKeys.length, 1, 2]);
    const answered: SendOutcome = { kind: 'answered', answer: { status: 201, headers: [], body } };
    this.#pendingEvents.push({ kind: 'sendEnd', outcome: draw === 3 ? unknown : answered, target });
  }

  #restartEntry(index: number): void {
    const entry = this.#entry(index);
    entry.incarnation += 1;
    for (const open of entry.openCalls.values()) {
      open.request.outcome ??= { kind: 'failed', failure: createFailure('callerGone') };
    }
    entry.openCalls.clear();
  }

  #passDeadline(index: number, key: number): void {
    const entry = this.#entry(index);
    const call: OnceCall = { workspace: 'w', service: 's', key: `k${key}`, fingerprint: 'f' };
    const { incarnation } = entry;
    this.#deliver({ entry, incarnation, name: nameRecord(call) }, { kind: 'deadlinePassed' });
  }

  #deliver({ entry, incarnation, name }: Target, event: CallEvent): void {
    const open = entry.openCalls.get(name);
    if (!open || entry.incarnation !== incarnation) return;
    this.#applyStep(entry, open, stepCall(open.progress, event, this.#createContext(entry)));
  }

  #applyStep(entry: Entry, open: OpenCall, step: CallStep): void {
    open.progress = step.progress;
    for (const action of step.actions) this.#performAction(entry, open, action);
    if (step.progress.phase.kind === 'ended') entry.openCalls.delete(step.progress.name);
  }

  #performAction(entry: Entry, { progress, request }: OpenCall, action: CallAction): void {
    const target = { entry, incarnation: entry.incarnation, name: progress.name };
    switch (action.kind) {
      case 'write':
        this.#pendingEvents.push({ kind: 'write', write: action.write, target });
        return;
      case 'send':
        this.#pendingEvents.push({ kind: 'send', request, target });
        return;
      case 'retryLater':
        this.#pendingEvents.push({ kind: 'retry', target });
        return;
      case 'answer':
        if (request.outcome) throw new Error('a request was answered twice');
        request.outcome = action.outcome;
        return;
      case 'settled':
        return;
    }
  }

  #createContext(entry: Entry): Parameters<typeof beginCall>[2] {
    return {
      now: 0,
      claimant: { entry: `e${entry.index}`, incarnation: `${entry.incarnation}` },
      createNonce: () => `n${(this.#nonces += 1)}`,
      isClaimantLost: (record) => {
        const claimant = this.#entries.find(({ index }) => `e${index}` === record.entry);
        const restarted = `${claimant?.incarnation}` !== record.incarnation;
        return restarted || (this.#options.entryFailures && this.#draw(4) === 1);
      },
    };
  }

  #takeEvent(index: number): PendingEvent {
    const [event] = this.#pendingEvents.splice(index, 1);
    if (!event) throw new Error('no event is pending');
    return event;
  }

  #entry(index: number): Entry {
    const entry = this.#entries[index];
    if (!entry) throw new Error(`entry ${index} does not exist`);
    return entry;
  }
}

/** Whether the caller was told that the request was not run. */
export function wasReportedNotRun({ outcome }: Request): boolean {
  if (outcome?.kind !== 'failed') return false;
  const conclusion = getConclusion(outcome.failure);
  return conclusion === 'notRun' || conclusion === 'refused';
}
