/**
 * Several entries on one fake platform, and a fake backend server that records its calls.
 */
import { createHash } from 'node:crypto';
import { createBoard, type Peer } from '../../src/board/index.js';
import type {
  OnceCall,
  OnceCalls,
  OnceOutcome,
  SendOutcome,
} from '../../src/controllers/calls/index.js';
import { createSystemClock, type Milliseconds } from '../../src/core/clock/index.js';
import { createFailure } from '../../src/core/errors/index.js';
import { silentLogger } from '../../src/core/logger/index.js';
import { createRandom } from '../../src/core/random/index.js';
import {
  createOnceCalls,
  createRecordCollector,
  type RecordCollector,
} from '../../src/entry/calls/index.js';
import type { EntryContext, Part } from '../../src/entry/types.js';
import { FakePlatform, type Link } from './fake-platform.js';

const WALL_START = 1_760_000_000_000;
const UNHEARD_CLAIM_MS = 60_000;

export interface FakeEntry {
  name: string;
  calls: OnceCalls & Part;
  collector: RecordCollector;
  link: Link;
  context: EntryContext;
}

/** A caller's request and its result. */
export interface FakeRequest {
  outcome: OnceOutcome | undefined;
  /** Number of times the backend server executed the call for this request. */
  executions: number;
}

/** Behavior of the backend server for subsequent calls. */
export type BackendMode = 'answers' | 'unreachable' | 'breaks' | 'throws' | 'holds';

/** State of one scenario. */
export class CallsFixture {
  readonly platform = new FakePlatform();
  readonly entries = new Map<string, FakeEntry>();
  /** Keys of the executed calls, in order of execution. */
  readonly executedKeys: string[] = [];
  readonly requests: FakeRequest[] = [];
  backend: BackendMode = 'answers';
  answerBytes = 12;
  wallNow = WALL_START;
  #clockOffset = 0;
  #heldCalls: (() => void)[] = [];
  readonly #clock = createSystemClock();

  startEntry(name: string, link: Link = this.platform.connect()): FakeEntry {
    const writers = createBoard();
    const context = {
      identity: { name, incarnation: '1' },
      settings: { calls: { unheardClaimMs: UNHEARD_CLAIM_MS } },
      board: writers,
      writers,
      clock: { now: () => this.#clock.now() + this.#clockOffset },
      random: createRandom(7),
      logger: silentLogger,
      platform: link.platform,
    } as unknown as EntryContext;
    const wallClock = (): number => this.wallNow;
    const collector = createRecordCollector(context, wallClock);
    const calls = createOnceCalls(context, { wallClock, collector });
    const entry = { name, calls, collector, link, context };
    this.entries.set(name, entry);
    calls.start();
    return entry;
  }

  /** Simulates a crash: later writes of the entry never reach the platform. */
  killEntry(name: string): void {
    this.entry(name).link.fault = 'held';
  }

  entry(name: string): FakeEntry {
    const entry = this.entries.get(name);
    if (!entry) throw new Error(`no entry ${name}`);
    return entry;
  }

  setPeer(at: string, peer: Pick<Peer, 'name' | 'incarnation'>): void {
    const { peers } = this.entry(at).context.writers;
    peers.write(new Map(peers.read()).set(peer.name, peer as Peer));
  }

  /** Advances the monotonic clock of every entry. */
  advanceClock(span: Milliseconds): void {
    this.#clockOffset += span;
  }

  request(entryName: string, key: string, body = 'issue', deadlineMs?: Milliseconds): FakeRequest {
    const entry = this.entry(entryName);
    const request: FakeRequest = { outcome: undefined, executions: 0 };
    this.requests.push(request);
    const call: OnceCall = {
      workspace: 'kebun',
      service: 'passes',
      key,
      fingerprint: createHash('sha256').update(body).digest('hex'),
      ...(deadlineMs !== undefined && { deadlineAt: entry.context.clock.now() + deadlineMs }),
    };
    void entry.calls
      .run(call, () => this.#execute(request, key))
      .then((outcome) => {
        request.outcome = outcome;
      });
    return request;
  }

  releaseBackend(): void {
    this.backend = 'answers';
    for (const release of this.#heldCalls.splice(0)) release();
  }

  async #execute(request: FakeRequest, key: string): Promise<SendOutcome> {
    await Promise.resolve();
    if (this.backend === 'unreachable') {
      return { kind: 'notRun', failure: createFailure('noCapacity', { name: 'passes' }) };
    }
    this.executedKeys.push(key);
    request.executions += 1;
    if (this.backend === 'throws') throw new Error('unexpected');
    if (this.backend === 'breaks') {
      const failure = createFailure('outcomeUnknown', { reason: 'the connection broke' });
      return { kind: 'unknown', failure };
    }
    if (this.backend === 'holds')
      await new Promise<void>((resolve) => this.#heldCalls.push(resolve));
    const body = new Uint8Array(this.answerBytes).fill(this.executedKeys.length);
    const headers = [{ name: 'content-type', value: 'application/octet-stream' }];
    return { kind: 'answered', answer: { status: 201, headers, body } };
  }
}
