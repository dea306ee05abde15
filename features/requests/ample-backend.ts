/**
 * A backend server with more to say than any buffer takes, both as an engine and as a plain service.
 *
 * It writes as fast as it may and stops while its connection is full, so that what has left it has
 * come to rest somewhere. As an engine it answers everything but completions as the stand-in does
 * that it speaks for.
 */
import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { request } from 'undici';
import { engineReportSchema, engineRequestSchema } from '../../src/adapters/engines/index.js';

export interface AmpleBackend {
  address: string;
  /** Answers begun. */
  begun(): number;
  /** Written to all answers. */
  writtenBytes(): number;
  stop(): Promise<void>;
}

/** Of one answer: twice what Linux keeps at most (4 MiB) between an entry and a silent caller. */
export const AMPLE_BYTES = 8_000_000;
const TOKEN = 'x'.repeat(1_000);
export const AMPLE_TOKENS = AMPLE_BYTES / TOKEN.length;
const PART = Buffer.alloc(64_000, 'x');
/** More than any scenario asks for at a time. */
const BATCH_SIZE = 256;

/** Starts one that speaks for the engine at `engineAddress`. */
export async function startAmpleBackend(engineAddress: string): Promise<AmpleBackend> {
  let begun = 0;
  let written = 0;

  const write = async (response: ServerResponse, data: string | Buffer): Promise<void> => {
    written += data.length;
    if (!response.write(data) && !response.destroyed) {
      await Promise.race([once(response, 'drain'), once(response, 'close')]);
    }
  };
  const stream = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { attempt } = engineRequestSchema.parse(JSON.parse(await text(incoming)));
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const render = (chunk: object): string => `data: ${JSON.stringify({ attempt, ...chunk })}\n\n`;
    for (let sequence = 0; sequence < AMPLE_TOKENS && !response.destroyed; sequence += 1) {
      await write(response, render({ kind: 'token', sequence, text: TOKEN }));
    }
    const counts = { promptTokens: 1, cachedTokens: 0 };
    response.end(render({ kind: 'end', sequence: AMPLE_TOKENS, reason: 'length', ...counts }));
  };
  const download = async (response: ServerResponse): Promise<void> => {
    response.writeHead(200, { 'content-length': AMPLE_BYTES });
    for (let left = AMPLE_BYTES; left > 0 && !response.destroyed; left -= PART.length) {
      await write(response, PART);
    }
    response.end();
  };
  const answer = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    switch (incoming.url) {
      case '/v1/chat/completions':
        begun += 1;
        return stream(incoming, response);
      case '/ample':
        begun += 1;
        return download(response);
      case '/health':
        return passReport(engineAddress, response);
      default:
        response.writeHead(204).end();
    }
  };

  const server = createServer((incoming, response) => {
    answer(incoming, response).catch(() => response.destroy());
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    begun: () => begun,
    writtenBytes: () => written,
    stop: async () => {
      const closed = once(server, 'close');
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
}

/** The engine's own report, but with a batch that takes everybody. */
async function passReport(engineAddress: string, response: ServerResponse): Promise<void> {
  const answer = await request(`http://${engineAddress}/health`);
  const report = engineReportSchema.parse(await answer.body.json());
  const load = report.load && { ...report.load, batchSize: BATCH_SIZE };
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ ...report, load }));
}
