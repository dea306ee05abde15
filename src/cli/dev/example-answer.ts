/**
 * Asks an entry for the example answer and shows it as it streams.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { createParser } from 'eventsource-parser';
import { request as sendRequest } from 'undici';
import * as z from 'zod';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import { EXAMPLE_KEY, EXAMPLE_MODEL } from './example-objects.js';

/** How the example answer ended. */
export type ExampleOutcome = { kind: 'whole'; tokens: number } | { kind: 'failed'; reason: string };

const NOT_IN_SERVICE = 503;
const SUCCESS = 200;
const TRY_EVERY_MS = 100;
const END_MARK = '[DONE]';
const MAX_TOKENS = 40;
const QUESTION = 'May I bring palm fronds and coffee husks to the Cimahi site on Saturday?';

const chunkSchema = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().optional() }) })),
});

/** The body of the example request. */
export const EXAMPLE_REQUEST = {
  model: EXAMPLE_MODEL,
  stream: true,
  max_tokens: MAX_TOKENS,
  messages: [{ role: 'user', content: QUESTION }],
} as const;

/** Asks until a replica is in service, for `patienceMs` at most. `show` gets each piece of text. */
export async function askExample(
  address: string,
  show: (text: string) => void,
  clock: Clock,
  patienceMs: Milliseconds,
): Promise<ExampleOutcome> {
  const giveUpAt = clock.now() + patienceMs;
  for (;;) {
    const { statusCode, body } = await sendExample(address);
    if (statusCode === SUCCESS) return readAnswer(body, show);
    const reason = await body.text();
    if (statusCode !== NOT_IN_SERVICE || clock.now() >= giveUpAt) return { kind: 'failed', reason };
    await sleep(TRY_EVERY_MS);
  }
}

function sendExample(address: string): ReturnType<typeof sendRequest> {
  return sendRequest(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${EXAMPLE_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify(EXAMPLE_REQUEST),
  });
}

async function readAnswer(
  body: AsyncIterable<Buffer>,
  show: (text: string) => void,
): Promise<ExampleOutcome> {
  let tokens = 0;
  let outcome: ExampleOutcome = { kind: 'failed', reason: 'the answer has no end mark' };
  const parser = createParser({
    onEvent: ({ event, data }) => {
      if (event === 'error') outcome = { kind: 'failed', reason: data };
      else if (data === END_MARK) outcome = { kind: 'whole', tokens };
      else {
        const text = readText(data);
        if (text !== '') tokens += 1;
        show(text);
      }
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of body) parser.feed(decoder.decode(bytes, { stream: true }));
  return outcome;
}

function readText(data: string): string {
  const chunk = chunkSchema.parse(JSON.parse(data));
  return chunk.choices[0]?.delta.content ?? '';
}
