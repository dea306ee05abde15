/**
 * `POST /v1/chat/completions`: one completion in, server-sent events or one JSON object out.
 *
 * A whole stream ends with `data: [DONE]`. One that broke off ends with a single `event: error`
 * and never with `[DONE]`, so that a caller can tell the two apart.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { renderFailure, sendFailure, sendJson } from './answers.js';
import { readBody, type BodyBounds } from './body.js';
import { completionBodySchema, type CompletionBody } from './completion-schema.js';
import type { CompletionOutcome, RequestHead, RequestPath, TokenOutput } from './types.js';

/** What an answer says of itself beside its tokens. */
interface AnswerHead {
  id: string;
  model: string;
  /** Seconds since the epoch. */
  created: number;
}

/** Serves one completion. Resolves when its answer has been written. */
export async function serveCompletion(
  path: RequestPath,
  head: RequestHead,
  bounds: BodyBounds,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = (await readBody(request, bounds)).andThen(parseBody);
  if (body.isErr()) {
    refuseBody(response, body.error, head.id);
    return;
  }
  const { model, stream, ...rest } = body.value;
  const answer: AnswerHead = { id: head.id, model, created: Math.floor(Date.now() / 1_000) };
  const output = stream ? createStream(response, answer) : createCollector(response, answer);
  const outcome = await path.complete({ ...head, ...rest, model }, output);
  output.finish(outcome);
}

function parseBody(bytes: Buffer): Result<CompletionBody, Failure> {
  let json: unknown;
  try {
    json = JSON.parse(bytes.toString('utf8'));
  } catch {
    return err(createFailure('invalidRequest', { reason: 'the body is not JSON' }));
  }
  const parsed = completionBodySchema.safeParse(json);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  const reason = `${issue?.path.join('.') ?? 'body'}: ${issue?.message ?? 'not valid'}`;
  return err(createFailure('invalidRequest', { reason }));
}

function refuseBody(response: ServerResponse, failure: Failure, id: string): void {
  // The rest of the body may still be on its way; it must not be read as the next request.
  if (failure.kind !== 'invalidRequest') response.setHeader('Connection', 'close');
  sendFailure(response, failure, id);
}

interface FinishableOutput extends TokenOutput {
  finish(outcome: CompletionOutcome): void;
}

function createStream(response: ServerResponse, head: AnswerHead): FinishableOutput {
  const start = renderChunkStart(head);
  const begin = (): void => {
    if (response.headersSent) return;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Cache-Control': 'no-store',
    });
    response.write(`${start}{"role":"assistant","content":""},"finish_reason":null}]}\n\n`);
  };
  return {
    relay: (text) => {
      begin();
      const delta = `{"content":${JSON.stringify(text)}}`;
      const flowing = response.write(`${start}${delta},"finish_reason":null}]}\n\n`);
      return flowing || response.destroyed ? undefined : waitForDrain(response);
    },
    finish: (outcome) => {
      if (response.destroyed) return;
      if (outcome.kind === 'whole') {
        begin();
        const usage = JSON.stringify(renderUsage(outcome));
        const end = `{},"finish_reason":"${outcome.reason}"}],"usage":${usage}}`;
        response.end(`${start}${end}\n\ndata: [DONE]\n\n`);
        return;
      }
      if (!response.headersSent) {
        sendFailure(response, outcome.failure, head.id);
        return;
      }
      const body = JSON.stringify(renderFailure(outcome.failure, head.id));
      response.end(`event: error\ndata: ${body}\n\n`);
    },
  };
}

function createCollector(response: ServerResponse, head: AnswerHead): FinishableOutput {
  const texts: string[] = [];
  return {
    relay: (text) => {
      texts.push(text);
      return undefined;
    },
    finish: (outcome) => {
      if (response.destroyed) return;
      if (outcome.kind === 'failed') {
        sendFailure(response, outcome.failure, head.id);
        return;
      }
      const message = { role: 'assistant', content: texts.join('') };
      const choice = { index: 0, message, finish_reason: outcome.reason };
      const usage = renderUsage(outcome);
      const answer = { ...head, object: 'chat.completion', choices: [choice], usage };
      sendJson(response, 200, JSON.stringify(answer));
    },
  };
}

function renderChunkStart({ id, model, created }: AnswerHead): string {
  const fields = JSON.stringify({ id, object: 'chat.completion.chunk', created, model });
  return `data: ${fields.slice(0, -1)},"choices":[{"index":0,"delta":`;
}

function renderUsage({ tokens }: Extract<CompletionOutcome, { kind: 'whole' }>): object {
  return {
    prompt_tokens: tokens.prompt,
    completion_tokens: tokens.completion,
    total_tokens: tokens.prompt + tokens.completion,
    prompt_tokens_details: { cached_tokens: tokens.cached },
  };
}

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      response.off('drain', finish).off('close', finish);
      resolve();
    };
    response.on('drain', finish).on('close', finish);
  });
}
