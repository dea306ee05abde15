/**
 * Callers during a run: streams with known answers, calls that run only once and are asked for
 * again through other entries, and calls without a key.
 */
import { createRandom, type Random } from '../../src/core/random/index.js';
import {
  askStreamed,
  callService,
  type CallReply,
  type Question,
} from '../../features/promises/callers.js';
import { MODEL, SERVICE, type EntryProcess } from '../../features/promises/deployment.js';
import type { Evidence } from './evidence.js';

/** What the callers know. */
export interface TrafficOptions {
  seed: number;
  /** Entries that the balancer would send them to at this moment. */
  listEntries: () => readonly EntryProcess[];
  evidence: Evidence;
}

/** Callers that go on until they are stopped. */
export interface Traffic {
  /** Resolves when the last of them has its answer. */
  stop(): Promise<void>;
}

const STREAM_CALLERS = 4;
const ONCE_CALLERS = 3;
const SINGLE_CALLERS = 1;
const TOKENS = 40;
const DEADLINE_MS = 4_000;
const MOST_TRIES = 6;
const PAUSE_MS = 30;
const RETRY_PAUSE_MS = 150;
const SEED_BOUND = 2 ** 30;

/** Starts the callers. */
export function startTraffic(options: TrafficOptions): Traffic {
  const state = { running: true };
  const random = createRandom(options.seed);
  const loops = [
    ...repeat(STREAM_CALLERS, () => runLoop(state, () => askOne(options, random))),
    ...repeat(ONCE_CALLERS, (index) => runOnceCalls(state, options, random, index)),
    ...repeat(SINGLE_CALLERS, (index) => runSingleCalls(state, options, random, index)),
  ];
  return {
    stop: async () => {
      state.running = false;
      await Promise.all(loops);
    },
  };
}

interface TrafficState {
  running: boolean;
}

function repeat(count: number, start: (index: number) => Promise<void>): readonly Promise<void>[] {
  return Array.from({ length: count }, (_, index) => start(index));
}

async function runLoop(state: TrafficState, once: () => Promise<void>): Promise<void> {
  while (state.running) {
    await once();
    await pause(PAUSE_MS);
  }
}

async function askOne(options: TrafficOptions, random: Random): Promise<void> {
  const entry = pickEntry(options, random);
  if (entry === undefined) return;
  const question = createQuestion(random.below(SEED_BOUND));
  const startedAt = Date.now();
  const reply = await askStreamed(entry.callers, question);
  const endedAt = Date.now();
  options.evidence.streams.push({ entry: entry.name, question, reply, startedAt, endedAt });
}

/** A question whose answer no other question has. */
export function createQuestion(seed: number): Question {
  const text = `question ${seed}`;
  return { model: MODEL, text, seed, maxTokens: TOKENS, deadlineMs: DEADLINE_MS };
}

async function runOnceCalls(
  state: TrafficState,
  options: TrafficOptions,
  random: Random,
  caller: number,
): Promise<void> {
  let count = 0;
  await runLoop(state, async () => {
    count += 1;
    const marker = `once-${options.seed}-${caller}-${count}`;
    await callOnce(options, random, marker);
  });
}

/** Asks with one key through one entry after the other, like an app that wants its check-in made. */
async function callOnce(options: TrafficOptions, random: Random, marker: string): Promise<void> {
  for (let tries = 0; tries < MOST_TRIES; tries += 1) {
    const entry = pickEntry(options, random);
    if (entry === undefined) return;
    // A second tap on the button: the same call arrives at two entries at once.
    const twice = random.below(4) === 0 ? pickEntry(options, random) : undefined;
    const targets = twice === undefined ? [entry] : [entry, twice];
    const replies = await Promise.all(targets.map((at) => sendOnce(options, at, marker)));
    if (replies.some(({ status }) => status === 200)) return;
    await pause(RETRY_PAUSE_MS);
  }
}

async function sendOnce(
  { evidence }: TrafficOptions,
  entry: EntryProcess,
  marker: string,
): Promise<CallReply> {
  const body = JSON.stringify({ marker });
  const path = `${SERVICE}/check-ins`;
  const reply = await callService(entry.callers, 'POST', path, { key: marker, body });
  evidence.calls.push({ entry: entry.name, handling: 'once', marker, reply });
  return reply;
}

async function runSingleCalls(
  state: TrafficState,
  options: TrafficOptions,
  random: Random,
  caller: number,
): Promise<void> {
  let count = 0;
  await runLoop(state, async () => {
    count += 1;
    const entry = pickEntry(options, random);
    if (entry === undefined) return;
    const marker = `single-${options.seed}-${caller}-${count}`;
    const body = JSON.stringify({ marker });
    const path = `${SERVICE}/echo/single`;
    const reply = await callService(entry.callers, 'POST', path, { body });
    options.evidence.calls.push({ entry: entry.name, handling: 'single', marker, reply });
  });
}

function pickEntry({ listEntries }: TrafficOptions, random: Random): EntryProcess | undefined {
  const entries = listEntries();
  return entries.length === 0 ? undefined : entries[random.below(entries.length)];
}

function pause(spanMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, spanMs));
}
