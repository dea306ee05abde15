/**
 * Callers as they are outside: they know the addresses of the entries and nothing else.
 */
import { request } from 'undici';
import { createParser } from 'eventsource-parser';

export const API_KEY = 'gate-key';
export const WORKSPACE = 'gate';

/** A completion that a caller asks for. */
export interface Question {
  model: string;
  text: string;
  seed: number;
  maxTokens: number;
  deadlineMs?: number;
}

/** What the caller got, judged as a caller can judge it. */
export interface Reply {
  status: number;
  /** The entry's id of the request, when an answer began. */
  requestId?: string;
  /** All text received, whole or not. */
  text: string;
  /** The `[DONE]` mark came. */
  whole: boolean;
  errorKind?: string;
  conclusion?: string;
  retryAfterMs?: number;
  /** The connection broke before the end of the body. */
  broken: boolean;
  /** No connection could be made: the entry cannot have heard of the request. */
  refused?: true;
  /** When each piece of text arrived, in milliseconds of this process's monotonic clock. */
  arrivals: number[];
}

const MAX_REPLY_MS = 60_000;

/** Asks one entry for a streamed completion and reads until the end. */
export async function askStreamed(
  address: string,
  question: Question,
  onText: (soFar: string) => void = () => undefined,
): Promise<Reply> {
  const reply: Reply = { status: 0, text: '', whole: false, broken: false, arrivals: [] };
  const parser = createParser({
    onEvent: ({ event, data }) => {
      readEvent(reply, event, data);
      onText(reply.text);
    },
  });
  try {
    const answer = await request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      headers: createHeaders(question.deadlineMs),
      body: createBody(question),
      headersTimeout: MAX_REPLY_MS,
      bodyTimeout: MAX_REPLY_MS,
    });
    reply.status = answer.statusCode;
    reply.requestId = String(answer.headers['x-request-id']);
    if (answer.statusCode !== 200) {
      readError(reply, await answer.body.json());
      return reply;
    }
    const decoder = new TextDecoder();
    for await (const chunk of answer.body) {
      parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
    }
  } catch (error) {
    noteBreak(reply, error);
  }
  return reply;
}

function noteBreak(reply: Reply | CallReply, error: unknown): void {
  reply.broken = true;
  if ((error as NodeJS.ErrnoException).code === 'ECONNREFUSED') reply.refused = true;
}

function createHeaders(deadlineMs: number | undefined): Record<string, string> {
  return {
    authorization: `Bearer ${API_KEY}`,
    'content-type': 'application/json',
    ...(deadlineMs === undefined ? {} : { 'x-request-deadline-ms': String(deadlineMs) }),
  };
}

function createBody({ model, text, seed, maxTokens }: Question): string {
  const messages = [{ role: 'user', content: text }];
  return JSON.stringify({ model, messages, seed, max_tokens: maxTokens, stream: true });
}

interface ErrorBody {
  error: { kind: string; conclusion: string; retry_after_ms?: number };
}

function readError(reply: Reply, body: unknown): void {
  const { error } = body as ErrorBody;
  reply.errorKind = error.kind;
  reply.conclusion = error.conclusion;
  if (error.retry_after_ms !== undefined) reply.retryAfterMs = error.retry_after_ms;
}

function readEvent(reply: Reply, event: string | undefined, data: string): void {
  if (data === '[DONE]') {
    reply.whole = true;
    return;
  }
  if (event === 'error') {
    readError(reply, JSON.parse(data));
    return;
  }
  const chunk = JSON.parse(data) as { choices: { delta: { content?: string } }[] };
  const content = chunk.choices[0]?.delta.content;
  if (content === undefined) return;
  reply.text += content;
  reply.arrivals.push(performance.now());
}

/** The answer to a call of a plain service. */
export interface CallReply {
  status: number;
  /** The entry's id of the request, when an answer began. */
  requestId?: string;
  body: string;
  errorKind?: string;
  conclusion?: string;
  /** No whole answer came. */
  broken: boolean;
  /** No connection could be made: the entry cannot have heard of the call. */
  refused?: true;
}

/** Calls a plain service through one entry. */
export async function callService(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  options: { key?: string; body?: string } = {},
): Promise<CallReply> {
  const reply: CallReply = { status: 0, body: '', broken: false };
  try {
    const answer = await request(`http://${address}/services/${path}`, {
      method,
      headers: {
        authorization: `Bearer ${API_KEY}`,
        'content-type': 'application/json',
        ...(options.key === undefined ? {} : { 'idempotency-key': options.key }),
      },
      body: options.body ?? null,
      headersTimeout: MAX_REPLY_MS,
    });
    reply.status = answer.statusCode;
    reply.requestId = String(answer.headers['x-request-id']);
    reply.body = await answer.body.text();
    readCallError(reply);
  } catch (error) {
    noteBreak(reply, error);
  }
  return reply;
}

function readCallError(reply: CallReply): void {
  if (reply.status < 400 || !reply.body.startsWith('{"error"')) return;
  const { error } = JSON.parse(reply.body) as ErrorBody;
  reply.errorKind = error.kind;
  reply.conclusion = error.conclusion;
}
