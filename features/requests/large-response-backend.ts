/**
 * A backend server whose responses exceed all buffers, both as an engine and as a plain service.
 *
 * It respects backpressure, so that all written bytes are buffered downstream. Its health report is
 * that of a stand-in engine.
 */
import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { request } from 'undici';
import { engineReportSchema, engineRequestSchema } from '../../src/adapters/engines/index.js';

export interface LargeResponseBackend {
  address: string;
  /** Number of responses started. */
  startedResponses(): number;
  /** Bytes written to all responses. */
  writtenBytes(): number;
  stop(): Promise<void>;
}

/** Size of one response: twice the maximum that Linux buffers (4 MiB) between entry and caller. */
export const RESPONSE_BYTES = 8_000_000;
const TOKEN = 'x'.repeat(1_000);
export const RESPONSE_TOKENS = RESPONSE_BYTES / TOKEN.length;
const CHUNK = Buffer.alloc(64_000, 'x');
/** Exceeds the number of concurrent requests of any scenario. */
const BATCH_SIZE = 256;

/** Starts a backend server that forwards the health report of the engine at `engineAddress`. */
export async function startLargeResponseBackend(
  engineAddress: string,
): Promise<LargeResponseBackend> {
  let startedResponses = 0;
  let writtenBytes = 0;

  const write = async (response: ServerResponse, data: string | Buffer): Promise<void> => {
    writtenBytes += data.length;
    if (!response.write(data) && !response.destroyed) {
      await Promise.race([once(response, 'drain'), once(response, 'close')]);
    }
  };
  const stream = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { attempt } = engineRequestSchema.parse(JSON.parse(await text(incoming)));
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const render = (chunk: object): string => `data: ${JSON.stringify({ attempt, ...chunk })}\n\n`;
    for (let sequence = 0; sequence < RESPONSE_TOKENS && !response.destroyed; sequence += 1) {
      await write(response, render({ kind: 'token', sequence, text: TOKEN }));
    }
    const counts = { promptTokens: 1, cachedTokens: 0 };
    response.end(render({ kind: 'end', sequence: RESPONSE_TOKENS, reason: 'length', ...counts }));
  };
  const download = async (response: ServerResponse): Promise<void> => {
    response.writeHead(200, { 'content-length': RESPONSE_BYTES });
    for (
      let remaining = RESPONSE_BYTES;
      remaining > 0 && !response.destroyed;
      remaining -= CHUNK.length
    ) {
      await write(response, CHUNK);
    }
    response.end();
  };
  const handleRequest = async (
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    switch (incoming.url) {
      case '/v1/chat/completions':
        startedResponses += 1;
        return stream(incoming, response);
      case '/ample':
        startedResponses += 1;
        return download(response);
      case '/health':
        return forwardHealthReport(engineAddress, response);
      default:
        response.writeHead(204).end();
    }
  };

  const server = createServer((incoming, response) => {
    handleRequest(incoming, response).catch(() => response.destroy());
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    startedResponses: () => startedResponses,
    writtenBytes: () => writtenBytes,
    stop: async () => {
      const closed = once(server, 'close');
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
}

/** Sends the engine's health report with a batch size that admits all requests. */
async function forwardHealthReport(engineAddress: string, response: ServerResponse): Promise<void> {
  const engineResponse = await request(`http://${engineAddress}/health`);
  const report = engineReportSchema.parse(await engineResponse.body.json());
  const load = report.load && { ...report.load, batchSize: BATCH_SIZE };
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ ...report, load }));
}
