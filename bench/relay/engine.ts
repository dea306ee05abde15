/**
 * An engine that costs next to nothing: each completion is answered with tokens written one by one.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { EngineRequest } from '../../src/adapters/engines/index.js';
import { HOLD } from './messages.js';

/** A server for completions in the engines' protocol. */
export function createEngine(): ReturnType<typeof createServer> {
  return createServer((request, response) => {
    if (request.url?.endsWith('/cancel')) {
      response.writeHead(204).end();
      return;
    }
    void readJson(request).then((body) => {
      answer(body, response);
    });
  });
}

async function readJson(request: IncomingMessage): Promise<EngineRequest> {
  const parts: Buffer[] = [];
  for await (const part of request as AsyncIterable<Buffer>) parts.push(part);
  return JSON.parse(Buffer.concat(parts).toString() || '{}') as EngineRequest;
}

function answer(request: EngineRequest, response: ServerResponse): void {
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  const holds = request.messages[0]?.content === HOLD;
  writeToken(request, response, 0, holds ? 1 : request.maxTokens, holds);
}

function writeToken(
  request: EngineRequest,
  response: ServerResponse,
  sequence: number,
  count: number,
  holds: boolean,
): void {
  const { attempt } = request;
  if (sequence < count) {
    const chunk = { kind: 'token', attempt, sequence, text: 'lorry ' };
    response.write(`data: ${JSON.stringify(chunk)}\n\n`);
    setImmediate(writeToken, request, response, sequence + 1, count, holds);
    return;
  }
  if (holds) return;
  const end = {
    kind: 'end',
    attempt,
    sequence,
    reason: 'length',
    promptTokens: 4,
    cachedTokens: 0,
  };
  response.end(`data: ${JSON.stringify(end)}\n\n`);
}
