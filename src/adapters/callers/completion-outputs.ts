/**
 * The two forms of a completion's answer.
 *
 * A whole stream ends with `data: [DONE]`. One that broke off ends with a single `event: error`
 * and never with `[DONE]`, so that a caller can tell the two apart.
 */
import type { ServerResponse } from 'node:http';
import { renderFailure, sendFailure, sendJson } from './answers.js';
import type { CompletionOutcome, TokenOutput } from './types.js';

/** What an answer says of itself beside its tokens. */
export interface AnswerHead {
  id: string;
  model: string;
  /** Seconds since the epoch. */
  created: number;
}

/** Takes the tokens of an answer and then how it ended. */
export interface FinishableOutput extends TokenOutput {
  finish(outcome: CompletionOutcome): void;
}

/** A stream of server-sent events. */
export function createStream(response: ServerResponse, head: AnswerHead): FinishableOutput {
  const start = renderChunkStart(head);
  const end = '},"finish_reason":null}]}\n\n';
  let pending = '';
  let isFlushDue = false;

  const begin = (): void => {
    if (response.headersSent) return;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Cache-Control': 'no-store',
    });
    pending = `${start}{"role":"assistant","content":""${end}${pending}`;
  };
  // Runs before the entry turns to anything else, so `pending` never waits for the caller to read.
  const flush = (): void => {
    isFlushDue = false;
    if (pending === '') return;
    const events = pending;
    pending = '';
    response.write(events);
  };
  const finishWith = (last: string): void => {
    const events = `${pending}${last}`;
    pending = '';
    response.end(events);
  };

  return {
    relay: (text) => {
      begin();
      // Tokens that came in one piece go out in one piece: the tick ends when all have been seen.
      if (!isFlushDue) process.nextTick(flush);
      isFlushDue = true;
      pending += `${start}{"content":${JSON.stringify(text)}${end}`;
      const isBlocked = response.writableNeedDrain && !response.destroyed;
      return isBlocked ? waitForDrain(response) : undefined;
    },
    finish: (outcome) => {
      if (response.destroyed) return;
      if (outcome.kind === 'whole') {
        begin();
        const usage = JSON.stringify(renderUsage(outcome));
        const last = `{},"finish_reason":"${outcome.reason}"}],"usage":${usage}}`;
        finishWith(`${start}${last}\n\ndata: [DONE]\n\n`);
        return;
      }
      if (!response.headersSent) {
        sendFailure(response, outcome.failure, head.id);
        return;
      }
      const body = JSON.stringify(renderFailure(outcome.failure, head.id));
      finishWith(`event: error\ndata: ${body}\n\n`);
    },
  };
}

/** A single JSON object, sent only when it is whole. */
export function createCollector(response: ServerResponse, head: AnswerHead): FinishableOutput {
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
