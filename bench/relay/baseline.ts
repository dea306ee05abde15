/**
 * The least that a relay can do with the same libraries: hono in front, undici behind, bytes passed
 * on as they come. It checks nothing, chooses nothing and keeps no account of anything.
 */
import { Readable } from 'node:stream';
import { createAdaptorServer } from '@hono/node-server';
import { Hono } from 'hono';
import { Agent } from 'undici';

/** A server that relays completions to `engine`. */
export function createBaseline(engine: string): ReturnType<typeof createAdaptorServer> {
  const agent = new Agent();
  const app = new Hono();
  app.post('/v1/chat/completions', async (context) => {
    const answer = await agent.request({
      origin: `http://${engine}`,
      path: '/v1/chat/completions',
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: await context.req.text(),
    });
    const body = Readable.toWeb(answer.body) as ReadableStream;
    return new Response(body, { headers: { 'content-type': 'text/event-stream' } });
  });
  return createAdaptorServer({ fetch: app.fetch });
}
