/**
 * The state machine of several entries under an arbitrary order of events, drawn by fast-check.
 *
 * A draw picks one of the things that may happen next: a request arrives, a write takes effect, its
 * answer arrives or is lost, the backend server runs a call, an entry dies. What any entry takes for
 * lost is drawn as well: the guarantees may not depend on that judgement.
 */
import type { PlatformWrite } from '../../src/adapters/platform/index.js';
import {
  beginCall,
  joinOpenCall,
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
import { concludeFailure, createFailure } from '../../src/core/errors/index.js';
import { FakePlatform } from './fake-platform.js';

const ENTRIES = 3;
const KEYS = 2;

/** One request and what it led to. */
export interface Request {
  key: string;
  outcome: OnceOutcome | undefined;
  runs: number;
}

interface Open {
  progress: CallProgress;
  request: Request;
}

interface Entry {
  index: number;
  incarnation: number;
  open: Map<string, Open>;
}

/** Where an event is delivered: lost when the entry has been started anew since. */
interface Target {
  entry: Entry;
  incarnation: number;
  name: string;
}

/** Something under way that a draw may pick. */
type UnderWay =
  | { kind: 'write'; write: PlatformWrite; target: Target }
  /** Given up by its entry, and may still take effect. */
  | { kind: 'lateWrite'; write: PlatformWrite }
  | { kind: 'send'; request: Request; target: Target }
  | { kind: 'sendEnd'; outcome: SendOutcome; target: Target }
  | { kind: 'retry'; target: Target };

/** Picks a number below the bound. */
export type Draw = (bound: number) => number;

export interface Options {
  /** Entries may die, and be taken for lost. */
  losses: boolean;
}

export class Interleaving {
  readonly requests: Request[] = [];
  readonly journal: string[] = [];
  readonly #platform = new FakePlatform();
  readonly #entries: Entry[] = [];
  readonly #options: Options;
  #underWay: UnderWay[] = [];
  #nonces = 0;
  #draw: Draw = () => 0;

  constructor(options: Options) {
    this.#options = options;
    for (let index = 0; index < ENTRIES; index += 1) {
      this.#entries.push({ index, incarnation: 0, open: new Map() });
    }
  }

  /** Lets one drawn thing happen. */
  step(draw: Draw): void {
    this.#draw = draw;
    const choice = draw(10);
    if (choice === 0) this.request(draw(ENTRIES), `k${draw(KEYS)}`);
    else if (choice === 1 && this.#options.losses && draw(4) === 0) this.#kill(draw(ENTRIES));
    else if (choice === 2) this.#passDeadline(draw(ENTRIES), draw(KEYS));
    else this.#advance(draw);
  }

  /** Ends all faults: everything under way arrives, until nothing is left to happen. */
  heal(): void {
    while (this.#underWay.length > 0) this.#happen(this.#take(0), () => 0);
  }

  request(entryIndex: number, key: string): Request {
    const entry = this.#entry(entryIndex);
    const call: OnceCall = { workspace: 'w', service: 's', key, fingerprint: 'f' };
    const request: Request = { key, outcome: undefined, runs: 0 };
    this.requests.push(request);
    const name = nameRecord(call);
    const before = entry.open.get(name);
    if (before) {
      request.outcome = joinOpenCall(before.progress, call);
      return request;
    }
    const step = beginCall(name, call, this.#facts(entry));
    const open = { progress: step.progress, request };
    entry.open.set(name, open);
    this.#perform(entry, open, step);
    return request;
  }

  #advance(draw: Draw): void {
    if (this.#underWay.length === 0) return;
    this.#happen(this.#take(draw(this.#underWay.length)), draw);
  }

  #happen(what: UnderWay, draw: Draw): void {
    switch (what.kind) {
      case 'write':
        this.#write(what.write, what.target, draw(7));
        return;
      case 'lateWrite':
        this.#platform.apply(what.write);
        return;
      case 'send':
        this.#serve(what.request, what.target, draw(4));
        return;
      case 'sendEnd':
        this.#deliver(what.target, { kind: 'sendEnded', outcome: what.outcome });
        return;
      case 'retry':
        this.#deliver(what.target, { kind: 'retryDue' });
        return;
    }
  }

  /** Draws 0 to 2 are good, so that most runs get somewhere. */
  #write(write: PlatformWrite, target: Target, draw: number): void {
    const { nonce } = write;
    const failed = (left: boolean): void => {
      const reason = left ? 'lost' : 'refused';
      const failure = createFailure('platformOutcomeUnknown', { reason });
      this.#deliver(target, { kind: 'writeFailed', nonce, failure, left });
    };
    switch (draw) {
      case 3:
        this.#platform.apply(write);
        failed(true);
        return;
      case 4:
        this.#underWay.push({ kind: 'lateWrite', write });
        failed(true);
        return;
      case 5:
        failed(false);
        return;
      // Sent twice by the client, of which the first answer is lost.
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

  #serve(request: Request, target: Target, draw: number): void {
    const unknown: SendOutcome = {
      kind: 'unknown',
      failure: createFailure('outcomeUnknown', { reason: 'cut' }),
    };
    if (draw === 2) {
      const failure = createFailure('noCapacity', { name: 's' });
      this.#underWay.push({ kind: 'sendEnd', outcome: { kind: 'notRun', failure }, target });
      return;
    }
    request.runs += 1;
    this.journal.push(request.key);
    const body = new Uint8Array([this.journal.length, 1, 2]);
    const answered: SendOutcome = { kind: 'answered', answer: { status: 201, headers: [], body } };
    this.#underWay.push({ kind: 'sendEnd', outcome: draw === 3 ? unknown : answered, target });
  }

  #kill(index: number): void {
    const entry = this.#entry(index);
    entry.incarnation += 1;
    for (const open of entry.open.values()) {
      open.request.outcome ??= { kind: 'failed', failure: createFailure('callerGone') };
    }
    entry.open.clear();
  }

  #passDeadline(index: number, key: number): void {
    const entry = this.#entry(index);
    const call: OnceCall = { workspace: 'w', service: 's', key: `k${key}`, fingerprint: 'f' };
    const { incarnation } = entry;
    this.#deliver({ entry, incarnation, name: nameRecord(call) }, { kind: 'deadlinePassed' });
  }

  #deliver({ entry, incarnation, name }: Target, event: CallEvent): void {
    const open = entry.open.get(name);
    if (!open || entry.incarnation !== incarnation) return;
    this.#perform(entry, open, stepCall(open.progress, event, this.#facts(entry)));
  }

  #perform(entry: Entry, open: Open, step: CallStep): void {
    open.progress = step.progress;
    for (const action of step.actions) this.#performAction(entry, open, action);
    if (step.progress.phase.kind === 'ended') entry.open.delete(step.progress.name);
  }

  #performAction(entry: Entry, { progress, request }: Open, action: CallAction): void {
    const target = { entry, incarnation: entry.incarnation, name: progress.name };
    switch (action.kind) {
      case 'write':
        this.#underWay.push({ kind: 'write', write: action.write, target });
        return;
      case 'send':
        this.#underWay.push({ kind: 'send', request, target });
        return;
      case 'retryLater':
        this.#underWay.push({ kind: 'retry', target });
        return;
      case 'answer':
        if (request.outcome) throw new Error('a request was answered twice');
        request.outcome = action.outcome;
        return;
      case 'settled':
        return;
    }
  }

  #facts(entry: Entry): Parameters<typeof beginCall>[2] {
    return {
      now: 0,
      claimant: { entry: `e${entry.index}`, incarnation: `${entry.incarnation}` },
      createNonce: () => `n${(this.#nonces += 1)}`,
      isClaimantLost: (record) => {
        const claimant = this.#entries.find(({ index }) => `e${index}` === record.entry);
        const gone = `${claimant?.incarnation}` !== record.incarnation;
        return gone || (this.#options.losses && this.#draw(4) === 1);
      },
    };
  }

  #take(index: number): UnderWay {
    const [what] = this.#underWay.splice(index, 1);
    if (!what) throw new Error('nothing is under way');
    return what;
  }

  #entry(index: number): Entry {
    const entry = this.#entries[index];
    if (!entry) throw new Error(`no entry ${index}`);
    return entry;
  }
}

/** Whether the request was told that it was not run. */
export function isToldNotRun({ outcome }: Request): boolean {
  if (outcome?.kind !== 'failed') return false;
  const conclusion = concludeFailure(outcome.failure);
  return conclusion === 'notRun' || conclusion === 'refused';
}
