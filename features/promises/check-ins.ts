/**
 * Check-ins that callers send and repeat, and what the services' journals say of them.
 */
import assert from 'node:assert/strict';
import { nameRecord } from '../../src/controllers/calls/index.js';
import type { CallRecord } from '../../src/objects/index.js';
import { waitFor } from '../support/waiting.js';
import { ask, type Told } from './asking.js';
import { WORKSPACE } from './callers.js';
import { SERVICE, type Deployment } from './deployment.js';
import { getJson } from './http.js';

const RETRY_MS = 50;
const PATH = `/services/${SERVICE}/check-ins`;

/** One request of a caller, and what it was told. */
export interface CheckIn extends Told {
  key: string;
  entry: number;
  /** Of the error; absent without one. */
  retryAfterMs?: number;
}

export interface CheckInOptions {
  body?: string;
  deadlineMs?: number;
}

/** All check-ins of one scenario. */
export class CheckIns {
  readonly all: CheckIn[] = [];
  readonly #site: Deployment;

  constructor(site: Deployment) {
    this.#site = site;
  }

  /** Sends one request to the entry at this place; the body follows from the key. */
  async send(entry: number, key: string, options: CheckInOptions = {}): Promise<CheckIn> {
    const { body = `worker of ${key}`, deadlineMs } = options;
    const headers: Record<string, string> = { 'idempotency-key': key };
    if (deadlineMs !== undefined) headers['x-request-deadline-ms'] = String(deadlineMs);
    const told = await ask(this.#site.entry(entry).callers, { path: PATH, body, headers });
    const checkIn = { ...told, ...readRetryAfter(told), key, entry };
    this.all.push(checkIn);
    return checkIn;
  }

  /** Repeats a check-in, each time at the next of `entries`, until `isEnd`. */
  async repeat(
    entries: readonly number[],
    key: string,
    isEnd: (told: CheckIn) => boolean,
  ): Promise<CheckIn> {
    let turn = 0;
    return waitFor(`a final answer for ${key}`, async () => {
      if (turn > 0) await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
      const told = await this.send(entries[turn % entries.length] ?? 0, key);
      turn += 1;
      return isEnd(told) && told;
    });
  }

  /** How often each key ran, over all services; plain reads have none and are left out. */
  async countRuns(): Promise<ReadonlyMap<string, number>> {
    const counts = new Map<string, number>();
    for (const service of this.#site.services.values()) {
      const { runs } = await service.journal();
      for (const { method, idempotencyKey = '' } of runs) {
        if (method !== 'POST') continue;
        counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
      }
    }
    return counts;
  }

  async whenRun(key: string): Promise<void> {
    await waitFor(`${key} to run`, async () => (await this.countRuns()).has(key));
  }

  /** What the platform keeps of the key, past every fault. */
  async readState(key: string): Promise<CallRecord['state']['kind'] | undefined> {
    const call = { workspace: WORKSPACE, service: SERVICE, key, fingerprint: '' };
    const stored = await this.#site.platform.read('call-record', nameRecord(call));
    return (stored?.value as CallRecord | undefined)?.state.kind;
  }

  async whenState(key: string, state: CallRecord['state']['kind']): Promise<void> {
    await waitFor(`the record of ${key} to be ${state}`, async () => {
      return (await this.readState(key)) === state;
    });
  }

  /** Batches of record writes that the platform has met so far, held ones included. */
  async countBatches(): Promise<number> {
    const { body } = await getJson(this.#site.platform.address, '/control/counters');
    return (body as { batch: number }).batch;
  }

  /** Holds the claim of a new key at the platform; resolves when it is held there. */
  async sendHeld(entry: number, key: string, options: CheckInOptions = {}): Promise<HeldCheckIn> {
    const before = await this.countBatches();
    await this.#site.platform.control({ holdWrites: 1 });
    const answer = this.send(entry, key, options);
    await waitFor(`the claim of ${key} to be held`, async () => {
      return (await this.countBatches()) > before;
    });
    assert.equal(await this.readState(key), undefined);
    return { answer };
  }

  /** Holds everything that callers were told against the journals. */
  async judge(): Promise<CheckInSummary> {
    const runs = await this.countRuns();
    const repeated = [...runs].filter(([, count]) => count > 1);
    assert.deepEqual(repeated, [], 'run more than once');
    const ran = await this.#listRunRequests();
    const denied = this.all.filter(({ conclusion }) => isDenied(conclusion));
    const lies = denied.filter(({ requestId }) => ran.has(requestId ?? ''));
    assert.deepEqual(lies, [], 'told not run, and run');
    const nameless = denied.filter(({ requestId }) => requestId === undefined);
    assert.deepEqual(nameless, [], 'told not run without an id to hold against the journals');
    this.#judgeAnswers(runs);
    return { requests: this.all.length, denied: denied.length, keysRun: runs.size };
  }

  /** All answers of one key are the same bytes, and its check-in did run. */
  #judgeAnswers(runs: ReadonlyMap<string, number>): void {
    const answers = new Map<string, string>();
    for (const { key, status, body } of this.all) {
      if (status !== 200) continue;
      assert.equal(runs.get(key), 1, `${key} was answered`);
      assert.equal(body, answers.get(key) ?? body, `answers of ${key} differ`);
      answers.set(key, body);
    }
  }

  async #listRunRequests(): Promise<ReadonlySet<string>> {
    const journals = await Promise.all(
      [...this.#site.services.values()].map((service) => service.journal()),
    );
    const runs = journals.flatMap((journal) => journal.runs);
    return new Set(runs.map(({ requestId = '' }) => requestId));
  }
}

/** A request whose claim is held at the platform; wrapped, so that awaiting does not unwrap it. */
interface HeldCheckIn {
  answer: Promise<CheckIn>;
}

interface CheckInSummary {
  requests: number;
  denied: number;
  keysRun: number;
}

export function isAnswered({ status }: CheckIn): boolean {
  return status === 200;
}

export function isUnknown({ errorKind }: CheckIn): boolean {
  return errorKind === 'outcomeUnknown';
}

function isDenied(conclusion: string | undefined): boolean {
  return conclusion === 'notRun' || conclusion === 'refused';
}

function readRetryAfter({ errorKind, body }: Told): { retryAfterMs?: number } {
  if (errorKind === undefined) return {};
  const { error } = JSON.parse(body) as { error: { retry_after_ms?: number } };
  return error.retry_after_ms === undefined ? {} : { retryAfterMs: error.retry_after_ms };
}
