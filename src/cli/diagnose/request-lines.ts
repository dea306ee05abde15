/**
 * Reading the lines about requests in the logs of gateways. Other lines are skipped before they are parsed.
 */
import * as z from 'zod';
import { LOG_EVENTS } from '../../core/logger/index.js';

const requestLineSchema = z.object({
  /** Milliseconds of the clock of the process that logged it. */
  at: z.number(),
  name: z.enum([
    'requestSent',
    'requestWaits',
    'attemptEnded',
    'requestRefusedAtDoor',
    'requestAnswered',
    'requestEnded',
    'linesSuppressed',
  ]),
  request: z.string().default(''),
  route: z.string().exactOptional(),
  outcome: z.string().exactOptional(),
  reason: z.string().exactOptional(),
  how: z.string().exactOptional(),
  kind: z.string().exactOptional(),
  of: z.string().exactOptional(),
  lines: z.number().exactOptional(),
  tookMs: z.number().exactOptional(),
  firstMs: z.number().exactOptional(),
  targetMs: z.number().exactOptional(),
  slowness: z.number().exactOptional(),
  gapMs: z.number().exactOptional(),
  gapTargetMs: z.number().exactOptional(),
});

/** A line about a request, or about lines that were left out. */
export type RequestLine = z.infer<typeof requestLineSchema>;

/** A line of a log file. */
export type ParsedLine =
  { kind: 'request'; line: RequestLine } | { kind: 'other' } | { kind: 'unreadable' };

const EVENT_NAME = /"name":"([A-Za-z]+)"/;
const RELEVANT = new Set<string>(requestLineSchema.shape.name.options);

export function parseRequestLine(text: string): ParsedLine {
  const name = EVENT_NAME.exec(text)?.[1];
  if (name === undefined || !(name in LOG_EVENTS) || !text.startsWith('{'))
    return { kind: 'unreadable' };
  if (!RELEVANT.has(name)) return { kind: 'other' };
  const line = requestLineSchema.safeParse(parseJson(text));
  return line.success ? { kind: 'request', line: line.data } : { kind: 'unreadable' };
}

/** Undefined for a line that was cut when its process died. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
