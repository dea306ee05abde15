/**
 * Random mixtures of what an engine may send, from right chunks to noise, cut into random pieces.
 */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import { createEngineClient, type EngineRequest } from '../../src/adapters/engines/index.js';
import type { HostileServer } from './raw-server.js';

const SEED = 20_261_202;
const ATTEMPT = 'a-1';
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n';
const REQUEST: EngineRequest = {
  attempt: ATTEMPT,
  model: 'm',
  replica: 'r-1',
  fence: 1,
  messages: [{ role: 'user', content: 'hi' }],
  maxTokens: 5,
  priority: 1,
  seed: 1,
  resumeFrom: 0,
};

const attempt = fc.constantFrom(ATTEMPT, ATTEMPT, ATTEMPT, 'another');
const sequence = fc.nat(4);
const chunk = fc.oneof(
  fc.record({ kind: fc.constant('token'), attempt, sequence, text: fc.string() }),
  fc.record({
    kind: fc.constant('end'),
    attempt,
    sequence,
    reason: fc.constantFrom('stop', 'length', 'other'),
    promptTokens: fc.integer(),
    cachedTokens: fc.nat(),
  }),
  fc.record({ kind: fc.constant('error'), attempt, sequence, reason: fc.string() }),
);
const event = chunk.map((value) => `data: ${JSON.stringify(value)}\n\n`);
const piece = fc.oneof(
  { weight: 6, arbitrary: event },
  { weight: 1, arbitrary: fc.string({ unit: 'binary' }) },
  {
    weight: 1,
    arbitrary: fc.constantFrom('data: {"kind"\n\n', ':\n\n', 'id: 1\nretry: x\n\n', '\r'),
  },
  { weight: 1, arbitrary: fc.jsonValue().map((value) => `data: ${JSON.stringify(value)}\n\n`) },
);

/** What was passed on of each stream: offsets of tokens and the kind of the last chunk. */
export async function streamMixtures(
  server: HostileServer,
  count: number,
): Promise<readonly string[]> {
  const client = createEngineClient({ answerTimeoutMs: 1_000, silenceTimeoutMs: 1_000 });
  const seen: string[] = [];
  await fc.assert(
    fc.asyncProperty(fc.array(piece, { maxLength: 12 }), async (pieces) => {
      server.answer = { parts: [HEAD, ...pieces], then: 'close' };
      const { signal } = new AbortController();
      const start = await client.complete(server.address, REQUEST, signal);
      assert.equal(start.kind, 'started');
      const kinds: string[] = [];
      for await (const each of start.chunks) {
        kinds.push(each.kind === 'token' ? String(each.sequence) : each.kind);
      }
      const tokens = kinds.slice(0, -1);
      assert.deepEqual(
        tokens,
        tokens.map((_, index) => String(index)),
      );
      assert.match(kinds.at(-1) ?? '', /^(end|error)$/);
      seen.push(kinds.join());
    }),
    { seed: SEED, numRuns: count },
  );
  await client.close();
  return seen;
}
