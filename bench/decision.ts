/**
 * Time of one routing decision at several numbers of candidates, with bounds on its growth. Writes
 * `bench/out/decision.json`; ends with code 1 when a bound is passed.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import {
  createDispatchState,
  dispatch,
  offerRequest,
  reportEnd,
  reportFirstToken,
  type Candidate,
  type DispatchView,
  type Prefix,
} from '../src/controllers/routing/index.js';
import { createRandom } from '../src/core/random/index.js';

const OUT = 'bench/out/decision.json';
const SIZES = [8, 60, 212, 1_700];
const WARM_UP = 20_000;
const DECISIONS = 50_000;
const REPORT_EVERY = 500;
const TEMPLATES = 200;
const PREFIX_BLOCKS = 32;
/**
 * Most that a decision at the largest size may take, in itself, and relative to the smallest size
 * and to the second: from there on the sample of candidates is full and the cost must stay flat.
 */
const RATIO_BOUND = 6;
const FLAT_BOUND = 1.6;
const MEAN_BOUND_US = 200;

interface Measurement {
  candidates: number;
  meanUs: number;
  p99Us: number;
}

function listCandidates(count: number, measuredAt: number): Candidate[] {
  return Array.from({ length: count }, (_, index) => ({
    replica: `replica-${index}`,
    model: 'chat',
    fence: 1,
    leader: `engine-${index}`,
    address: '127.0.0.1:1',
    members: [`engine-${index}`],
    location: { region: `region-${index % 5}`, failureDomain: `domain-${index % 20}` },
    load: {
      measuredAt,
      load: {
        running: index % 8,
        waiting: 0,
        pendingPromptTokens: (index * 37) % 900,
        pendingOutputTokens: 400,
        batchSize: 32,
        prefillMsPerToken: 0.2,
        decodeMsPerToken: 20,
        cacheUse: 0.5,
        ageMs: 0,
      },
    },
  }));
}

function templatePrefixes(template: number): Prefix[] {
  return Array.from({ length: PREFIX_BLOCKS }, (_, block) => ({
    hash: `${template}-${block}`,
    tokens: (block + 1) * 64,
  }));
}

/** Requests that stay until some later ones were sent, over reports that change now and then. */
function measure(count: number): Measurement {
  const state = createDispatchState();
  const random = createRandom(5);
  const prefixes = Array.from({ length: TEMPLATES }, (_, template) => templatePrefixes(template));
  let candidates = listCandidates(count, 0);
  const view: DispatchView = {
    entryLocation: { region: 'region-0', failureDomain: 'domain-0' },
    candidatesOf: () => candidates,
    peersSent: [],
    entryCount: 8,
  };
  const spans: number[] = [];
  for (let index = 0; index < WARM_UP + DECISIONS; index += 1) {
    const now = index;
    if (index % REPORT_EVERY === 0) candidates = listCandidates(count, now);
    const request = {
      ticket: `${index}`,
      workspace: `workspace-${index % 10}`,
      class: 'interactive' as const,
      model: 'chat',
      promptTokens: PREFIX_BLOCKS * 64 + 100,
      maxTokens: 200,
      prefixes: prefixes[random.below(TEMPLATES)] ?? [],
      arrivedAt: now,
      deadlineAt: now + 60_000,
      excluded: [],
    };
    const startedAt = performance.now();
    offerRequest(state, request, 64, 1);
    dispatch(state, view, now, random);
    const span = performance.now() - startedAt;
    if (index >= WARM_UP) spans.push(span * 1_000);
    const ended = `${index - 20}`;
    reportFirstToken(state, ended, now);
    reportEnd(state, ended, { kind: 'completed' }, now);
  }
  spans.sort((one, other) => one - other);
  const mean = spans.reduce((sum, span) => sum + span, 0) / spans.length;
  return { candidates: count, meanUs: mean, p99Us: spans[Math.floor(spans.length * 0.99)] ?? 0 };
}

const measurements = SIZES.map(measure);
for (const { candidates, meanUs, p99Us } of measurements) {
  console.log(`${candidates} candidates: mean ${meanUs.toFixed(1)} us, p99 ${p99Us.toFixed(1)} us`);
}
const first = measurements[0]?.meanUs ?? Number.NaN;
const last = measurements.at(-1)?.meanUs ?? Number.NaN;
const ratio = last / first;
const flat = last / (measurements[1]?.meanUs ?? Number.NaN);
console.log(`${SIZES.at(-1)} to ${SIZES[0]}: ${ratio.toFixed(2)}, bound ${RATIO_BOUND}`);
console.log(`${SIZES.at(-1)} to ${SIZES[1]}: ${flat.toFixed(2)}, bound ${FLAT_BOUND}`);
mkdirSync('bench/out', { recursive: true });
writeFileSync(OUT, `${JSON.stringify({ measurements, ratio, flat }, undefined, 2)}\n`);
if (!(ratio <= RATIO_BOUND && flat <= FLAT_BOUND && last <= MEAN_BOUND_US)) process.exitCode = 1;
