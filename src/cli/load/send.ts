/**
 * Sends one request of a load run and watches its answer as a caller would.
 */
import { randomUUID } from 'node:crypto';
import { createParser } from 'eventsource-parser';
import { request as sendRequest, type Dispatcher } from 'undici';
import * as z from 'zod';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import { parseJson } from '../../core/json/index.js';
import type { CompletionStream, LoadStream, ServiceStream } from './plan.js';
import type { LoadOutcome, LoadSpans } from './recorder.js';

/** One request to send. */
export interface Sending {
  /** `host:port` of an entry. */
  target: string;
  stream: LoadStream;
  index: number;
  /** When it was due by the plan; spans count from here. */
  dueAt: Milliseconds;
}

export interface SendResult {
  outcome: LoadOutcome;
  spans: LoadSpans;
}

const SUCCESS_BELOW = 300;
const WORDS = ['lorry', 'pass', 'slot', 'gate', 'compost', 'rigger', 'ticket', 'crew'];
const END_MARK = '[DONE]';

const chunkSchema = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().optional() }) })).optional(),
});
const errorSchema = z.object({ error: z.object({ kind: z.string() }) });

/** Sends one request. Resolves when its answer has ended, in whatever way. */
export async function sendOne(
  sending: Sending,
  dispatcher: Dispatcher,
  clock: Clock,
): Promise<SendResult> {
  const { stream } = sending;
  const watch = createWatch(sending.dueAt, clock);
  try {
    const outcome =
      'model' in stream
        ? await sendCompletion(sending, stream, dispatcher, watch)
        : await sendServiceCall(sending, stream, dispatcher);
    return { outcome, spans: watch.read() };
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'unknown';
    return { outcome: { kind: 'unreachable', reason }, spans: watch.read() };
  }
}

/** Takes the times of one answer's tokens. */
interface TokenWatch {
  token(): void;
  read(): LoadSpans;
}

function createWatch(dueAt: Milliseconds, clock: Clock): TokenWatch {
  let firstTokenMs: Milliseconds | undefined;
  let lastAt: Milliseconds = 0;
  const gapsMs: Milliseconds[] = [];
  return {
    token: () => {
      const now = clock.now();
      if (firstTokenMs === undefined) firstTokenMs = now - dueAt;
      else gapsMs.push(now - lastAt);
      lastAt = now;
    },
    read: () => ({
      ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
      gapsMs,
      totalMs: clock.now() - dueAt,
    }),
  };
}

async function sendCompletion(
  { target, index }: Sending,
  stream: CompletionStream,
  dispatcher: Dispatcher,
  watch: TokenWatch,
): Promise<LoadOutcome> {
  const { statusCode, body } = await sendRequest(`http://${target}/v1/chat/completions`, {
    dispatcher,
    method: 'POST',
    headers: { ...headersOf(stream), 'content-type': 'application/json' },
    body: JSON.stringify({
      model: stream.model,
      stream: true,
      max_tokens: stream.maxTokens,
      messages: [{ role: 'user', content: writePrompt(stream, index) }],
    }),
  });
  if (statusCode >= SUCCESS_BELOW) return readError(statusCode, await body.text());
  return readStream(body, watch);
}

async function readStream(body: AsyncIterable<Buffer>, watch: TokenWatch): Promise<LoadOutcome> {
  let outcome: LoadOutcome = { kind: 'cut' };
  const parser = createParser({
    onEvent: ({ event, data }) => {
      if (event === 'error') outcome = readError(0, data);
      else if (data === END_MARK) outcome = { kind: 'whole' };
      else if (carriesToken(data)) watch.token();
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const bytes of body) parser.feed(decoder.decode(bytes, { stream: true }));
  } catch {
    // The connection broke off; without an end mark or error event the outcome stays `cut`.
  }
  return outcome;
}

function carriesToken(data: string): boolean {
  const chunk = chunkSchema.safeParse(parseJson(data));
  if (!chunk.success) return false;
  const content = chunk.data.choices?.[0]?.delta.content;
  return content !== undefined && content !== '';
}

async function sendServiceCall(
  { target }: Sending,
  stream: ServiceStream,
  dispatcher: Dispatcher,
): Promise<LoadOutcome> {
  const key = stream.once ? { 'idempotency-key': randomUUID() } : {};
  const { statusCode, body } = await sendRequest(
    `http://${target}/services/${stream.service}${stream.path}`,
    { dispatcher, method: stream.method, headers: { ...headersOf(stream), ...key } },
  );
  try {
    const text = await body.text();
    return statusCode < SUCCESS_BELOW ? { kind: 'whole' } : readError(statusCode, text);
  } catch {
    return { kind: 'cut' };
  }
}

function headersOf(stream: LoadStream): Record<string, string> {
  return { authorization: `Bearer ${stream.key}`, 'x-request-class': stream.class };
}

function readError(status: number, text: string): LoadOutcome {
  const error = errorSchema.safeParse(parseJson(text));
  return { kind: 'error', name: error.success ? error.data.error.kind : `status ${status}` };
}

/** The first half is the same for the whole stream, so that prefix caches have something to find. */
function writePrompt({ name, promptWords }: CompletionStream, index: number): string {
  const words = [name];
  for (let word = 1; word < promptWords; word += 1) {
    const turn = word < promptWords / 2 ? word : word + index;
    words.push(WORDS[turn % WORDS.length] ?? name);
  }
  return words.join(' ');
}
