/**
 * Sums the loads of weights that all gateways ordered, by their logs.
 */
import * as z from 'zod';

const orderLineSchema = z.object({
  name: z.literal('orderSent'),
  causesLoad: z.literal(true),
  why: z.string(),
  beforeTraffic: z.boolean(),
  /** Unix milliseconds, by the clock of the gateway. */
  sentAt: z.number(),
});

/** Orders for which weights are loaded, of all gateways together. */
export interface LoadSummary {
  total: number;
  /** The span with the most of them; absent without any. */
  most?: { loads: number; from: string };
  /** Counts by reason; those sent before traffic are counted apart. */
  byReason: Readonly<Record<string, number>>;
}

/** Span over which loads are counted. */
export const LOAD_WINDOW_MS = 5_000;

/** Summarizes the texts of log files. */
export function summarizeLoads(texts: readonly string[]): LoadSummary {
  const lines = texts.flatMap((text) => text.split('\n').flatMap(parseOrderLine));
  const byReason: Record<string, number> = {};
  for (const { why, beforeTraffic } of lines) {
    const reason = beforeTraffic ? `${why} before traffic` : why;
    byReason[reason] = (byReason[reason] ?? 0) + 1;
  }
  const times = lines.map(({ sentAt }) => sentAt).sort((a, b) => a - b);
  const most = findFullestWindow(times);
  return { total: lines.length, ...(most && { most }), byReason };
}

function findFullestWindow(times: readonly number[]): LoadSummary['most'] {
  let first = 0;
  let most: { loads: number; at: number } | undefined;
  for (const [index, time] of times.entries()) {
    while ((times[first] ?? time) <= time - LOAD_WINDOW_MS) first += 1;
    const loads = index - first + 1;
    if (loads > (most?.loads ?? 0)) most = { loads, at: times[first] ?? time };
  }
  return most && { loads: most.loads, from: new Date(most.at).toISOString() };
}

function parseOrderLine(text: string): z.infer<typeof orderLineSchema>[] {
  // Other lines are skipped before they are parsed, because logs are long.
  const begin = text.indexOf('{');
  if (begin < 0 || !text.includes('"causesLoad":true')) return [];
  try {
    const line = orderLineSchema.safeParse(JSON.parse(text.slice(begin)));
    return line.success ? [line.data] : [];
  } catch {
    return [];
  }
}
