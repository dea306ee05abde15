/**
 * Callers that ask one request after the other until they are stopped, and what became of each.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { askStreamed, callService, type Question } from './callers.js';
import { SERVICE, type EntryProcess } from './deployment.js';
import { answerOf, createQuestion } from './world.js';

/** What became of one request, after all entries that it was taken to. */
interface Outcome {
  /** The entry that gave the last answer. */
  entry: string;
  /** Entries that refused it before, because they stop or take no connections. */
  refusals: number;
  /** Why the answer was not whole; absent when it was, byte for byte. */
  fault?: string;
}

/** A running load. */
export interface Load {
  outcomes: readonly Outcome[];
  /** Lets requests under way end; resolves with all outcomes. */
  stop(): Promise<readonly Outcome[]>;
}

/** One try of a request at one entry. */
interface Try {
  isRefused: boolean;
  fault?: string;
}

type Ask = (entry: EntryProcess, turn: number) => Promise<Try>;

/** What is refused for a workspace's limits says nothing of a stop, so they are out of the way. */
export const WIDE_LIMITS = {
  requestsPerSecond: 50_000,
  tokensPerSecond: 5_000_000,
  concurrentRequests: 50_000,
};

const MOST_REFUSALS = 200;
const REFUSED_PAUSE_MS = 20;
/** Between two requests of one caller. */
const PACE_MS = 20;
const SHOWN_FAULTS = 5;

/** Callers of a model, each at its own entry, or at all entries in turn. */
export function startAsking(
  listEntries: () => readonly EntryProcess[],
  callers: number,
  maxTokens: number,
): Load {
  return startLoad(listEntries, callers, async (entry, turn) => {
    return askOnce(entry, createQuestion(turn, maxTokens));
  });
}

/** Callers of the plain service. */
export function startCalling(listEntries: () => readonly EntryProcess[], callers: number): Load {
  return startLoad(listEntries, callers, callOnce);
}

/** Asks one entry and compares the answer with what it should be. */
export async function askOnce(entry: EntryProcess, question: Question): Promise<Try> {
  const reply = await askStreamed(entry.callers, question);
  if (reply.refused === true || reply.errorKind === 'stopping') return { isRefused: true };
  if (reply.whole && reply.text === answerOf(question)) return { isRefused: false };
  const { status, errorKind, broken, whole, text } = reply;
  return {
    isRefused: false,
    fault: JSON.stringify({ status, errorKind, broken, whole, length: text.length }),
  };
}

/** Calls the service once through one entry and compares the answer with what it should be. */
async function callOnce(entry: EntryProcess, turn: number): Promise<Try> {
  const reply = await callService(entry.callers, 'GET', `${SERVICE}/passes/${turn}`);
  if (reply.refused === true || reply.errorKind === 'stopping') return { isRefused: true };
  const expected = JSON.stringify({ id: String(turn), valid: true });
  if (reply.status === 200 && reply.body === expected) return { isRefused: false };
  const { status, errorKind, broken, body } = reply;
  return { isRefused: false, fault: JSON.stringify({ status, errorKind, broken, body }) };
}

/** How many answers were not whole, with the first few; empty when all were whole. */
export function describeFaults(outcomes: readonly Outcome[]): string {
  const faults = outcomes.filter(({ fault }) => fault !== undefined);
  if (faults.length === 0) return '';
  const shown = faults.slice(0, SHOWN_FAULTS).map(({ entry, fault }) => `${entry}: ${fault ?? ''}`);
  return `${faults.length} of ${outcomes.length} answers: ${shown.join('; ')}`;
}

function startLoad(listEntries: () => readonly EntryProcess[], callers: number, ask: Ask): Load {
  const outcomes: Outcome[] = [];
  let isStopped = false;
  let turn = 0;
  const run = async (caller: number): Promise<void> => {
    const left = new Set<EntryProcess>();
    for (let at = caller; !isStopped; at += 1) {
      turn += 1;
      const number = turn;
      outcomes.push(await askSomewhere(listEntries, left, at, (entry) => ask(entry, number)));
      await sleep(PACE_MS);
    }
  };
  const running = Array.from({ length: callers }, (_, caller) => run(caller));
  return {
    outcomes,
    stop: async () => {
      isStopped = true;
      await Promise.all(running);
      return outcomes;
    },
  };
}

/**
 * Goes elsewhere only when the entry cannot have taken the request on, and notes it in `left`: a
 * caller that was told that an entry stops does not come back to it. Nobody can answer one that
 * connects at the instant at which the listener closes.
 */
async function askSomewhere(
  listEntries: () => readonly EntryProcess[],
  left: Set<EntryProcess>,
  first: number,
  ask: (entry: EntryProcess) => Promise<Try>,
): Promise<Outcome> {
  for (let refusals = 0; refusals < MOST_REFUSALS; refusals += 1) {
    const entries = listEntries().filter((entry) => !left.has(entry));
    const entry = entries[(first + refusals) % entries.length];
    if (entry === undefined) break;
    const { isRefused, fault } = await ask(entry);
    if (!isRefused) return { entry: entry.name, refusals, ...(fault !== undefined && { fault }) };
    left.add(entry);
    await sleep(REFUSED_PAUSE_MS);
  }
  return { entry: 'none', refusals: MOST_REFUSALS, fault: 'refused everywhere' };
}
