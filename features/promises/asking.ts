/**
 * Requests of any shape, and what their callers are told, for scenarios that look at errors.
 */
import { request } from 'undici';
import { API_KEY, type Question } from './callers.js';

/** A request as a caller writes it; the API key and a JSON body are the usual ones. */
export interface Ask {
  method?: 'GET' | 'POST';
  path: string;
  headers?: Readonly<Record<string, string>>;
  body?: string | AsyncIterable<Uint8Array>;
}

/** What one caller was told. */
export interface Told {
  /** 0 when no answer began. */
  status: number;
  body: string;
  errorKind?: string;
  conclusion?: string;
  requestId?: string;
  /** The connection broke before the answer was whole. */
  broken: boolean;
}

const LONGEST_ANSWER_MS = 30_000;

/** Asks once and reads the answer to its end. */
export async function ask(address: string, asked: Ask): Promise<Told> {
  const told: Told = { status: 0, body: '', broken: false };
  try {
    const answer = await request(`http://${address}${asked.path}`, {
      method: asked.method ?? 'POST',
      headers: {
        authorization: `Bearer ${API_KEY}`,
        'content-type': 'application/json',
        ...asked.headers,
      },
      body: (asked.body as string | undefined) ?? null,
      headersTimeout: LONGEST_ANSWER_MS,
      bodyTimeout: LONGEST_ANSWER_MS,
    });
    told.status = answer.statusCode;
    const id = answer.headers['x-request-id'];
    if (typeof id === 'string') told.requestId = id;
    told.body = await answer.body.text();
    readError(told);
  } catch {
    told.broken = true;
  }
  return told;
}

/** A completion that is answered as one JSON object. */
export function askWhole(address: string, question: Question): Promise<Told> {
  return ask(address, createCompletion(question, false));
}

/** The request for `question`. */
export function createCompletion(question: Question, stream: boolean): Ask {
  const { model, text, seed, maxTokens, deadlineMs } = question;
  const messages = [{ role: 'user', content: text }];
  return {
    path: '/v1/chat/completions',
    headers: deadlineMs === undefined ? {} : { 'x-request-deadline-ms': String(deadlineMs) },
    body: JSON.stringify({ model, messages, seed, max_tokens: maxTokens, stream }),
  };
}

/** The text of an answer that came as one JSON object; undefined when it is no such answer. */
export function readText({ status, body, broken }: Told): string | undefined {
  if (status !== 200 || broken) return undefined;
  const answer = JSON.parse(body) as { choices: { message: { content: string } }[] };
  return answer.choices[0]?.message.content;
}

/** Notes the error in a body: it may be all of it, or the last event of a stream. */
export function readError(told: Told): void {
  const text = /^(?:event: error\ndata: )?(\{"error":.*\})$/m.exec(told.body)?.[1];
  if (text === undefined) return;
  const { error } = JSON.parse(text) as {
    error: { kind: string; conclusion: string; request_id: string };
  };
  told.errorKind = error.kind;
  told.conclusion = error.conclusion;
  told.requestId ??= error.request_id;
}
