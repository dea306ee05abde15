/**
 * Requests of one run, drawn from a seed: the same for every way of routing.
 */
import { createRandom, type Random } from '../../src/core/random/index.js';
import type { RequestClass } from '../../src/objects/index.js';

const BLOCK_TOKENS = 64;

export interface Arrival {
  at: number;
  ticket: string;
  workspace: string;
  class: RequestClass;
  promptTokens: number;
  outputTokens: number;
  maxTokens: number;
  prefixes: readonly { hash: string; tokens: number }[];
}

export interface Workload {
  seed: number;
  /** Requests a second in the mean; they come at random (Poisson). */
  rate: number;
  spanMs: number;
  prompts: 'even' | 'skewed';
  /** A workspace that asks for this much more on top, as a part of `rate`, from `at` on. */
  flood?: { at: number; part: number };
}

const TEMPLATES = 60;
const WORKSPACES = 10;

/** All requests in order of arrival. The flood's come on top and change none of the others. */
export function drawArrivals(workload: Workload): Arrival[] {
  const arrivals = drawSeries(workload, workload.rate, 0, undefined);
  const { flood } = workload;
  if (!flood) return arrivals;
  const extra = drawSeries(
    { ...workload, seed: workload.seed + 1 },
    workload.rate * flood.part,
    flood.at,
    'flood',
  );
  return [...arrivals, ...extra].sort((one, other) => one.at - other.at);
}

function drawSeries(
  workload: Workload,
  rate: number,
  from: number,
  workspace: string | undefined,
): Arrival[] {
  const random = createRandom(workload.seed);
  const templates = drawTemplates(random);
  const arrivals: Arrival[] = [];
  let at = from;
  for (;;) {
    at += (-Math.log(1 - random.fraction()) * 1_000) / rate;
    if (at > workload.spanMs) return arrivals;
    const ticket = `${workspace ?? 'r'}-${arrivals.length}`;
    const owner = workspace ?? `workspace-${zipf(random, WORKSPACES)}`;
    const body = workload.prompts === 'even' ? evenPrompt(ticket) : skewedPrompt(random, templates);
    const outputTokens = 1 + Math.round(logNormal(random, 80, 0.6));
    arrivals.push({
      at,
      ticket,
      workspace: owner,
      class: 'interactive',
      outputTokens,
      maxTokens: 2 ** Math.ceil(Math.log2(outputTokens + 1)),
      ...body,
    });
  }
}

function evenPrompt(ticket: string): Pick<Arrival, 'promptTokens' | 'prefixes'> {
  return { promptTokens: 500, prefixes: blocks([`own-${ticket}`], 448) };
}

/** Long shared beginnings of very unequal popularity, and ends of very unequal length. */
function skewedPrompt(
  random: Random,
  templates: readonly number[],
): Pick<Arrival, 'promptTokens' | 'prefixes'> {
  const template = zipf(random, TEMPLATES);
  const shared = templates[template] ?? BLOCK_TOKENS;
  const tail = Math.round(logNormal(random, 150, 0.9));
  return {
    promptTokens: shared + tail,
    prefixes: blocks([`template-${template}`], shared),
  };
}

function drawTemplates(random: Random): number[] {
  return Array.from({ length: TEMPLATES }, () => BLOCK_TOKENS * (8 + random.below(40)));
}

function blocks(name: readonly string[], tokens: number): { hash: string; tokens: number }[] {
  const count = Math.floor(tokens / BLOCK_TOKENS);
  return Array.from({ length: count }, (_, index) => ({
    hash: `${name.join('-')}-${index}`,
    tokens: (index + 1) * BLOCK_TOKENS,
  }));
}

/** 0 is the most frequent of `count`; the others fall off with their rank. */
function zipf(random: Random, count: number): number {
  let weight = 0;
  for (let rank = 1; rank <= count; rank += 1) weight += 1 / rank;
  let left = random.fraction() * weight;
  for (let rank = 1; rank <= count; rank += 1) {
    left -= 1 / rank;
    if (left <= 0) return rank - 1;
  }
  return count - 1;
}

function logNormal(random: Random, median: number, sigma: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * random.fraction()));
}
