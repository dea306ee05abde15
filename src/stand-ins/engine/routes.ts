/**
 * The HTTP routes of an engine stand-in: the protocol, and /control and /journal for tests.
 */
import { createHash } from 'node:crypto';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import * as z from 'zod';
import {
  engineRequestSchema,
  orderSchema,
  type EngineRefusal,
  type EngineReport,
} from '../../adapters/engines/index.js';
import { engineControlSchema } from './control.js';
import type { EngineHandlers } from './handlers.js';

interface Bindings {
  Bindings: HttpBindings;
}

/** An exported KV cache, as one engine hands it to another. */
const exportedCacheSchema = z.object({
  prefixes: z.array(z.object({ hash: z.string(), tokens: z.number().int().positive() })).max(1_024),
});

const REFUSAL_STATUSES = { fenced: 409, notReady: 503, overloaded: 429, invalid: 400 } as const;
const ORDER_REFUSED = 409;
const NOT_MODIFIED = 304;
const TAG_LENGTH = 12;

/** The routes in front of `engine`. */
export function createEngineRoutes(engine: EngineHandlers): Hono<Bindings> {
  const app = new Hono<Bindings>();
  app.get('/health', (context) => answerReport(context, engine.report()));
  app.post('/orders', async (context) => {
    const order = orderSchema.safeParse(await readJson(context));
    if (!order.success) return refuse(context, invalid(order.error));
    const refusal = engine.order(order.data);
    return refusal ? context.json(refusal, ORDER_REFUSED) : context.json(engine.report());
  });
  app.post('/v1/chat/completions', async (context) => {
    const request = engineRequestSchema.safeParse(await readJson(context));
    if (!request.success) return refuse(context, invalid(request.error));
    const refusal = engine.complete(request.data, context.env.outgoing);
    return refusal ? refuse(context, refusal) : RESPONSE_ALREADY_SENT;
  });
  app.post('/v1/attempts/:attempt/cancel', (context) => {
    engine.cancel(context.req.param('attempt'));
    return context.body(null, 204);
  });
  app.get('/cache-events', (context) =>
    context.json(engine.cacheEvents(Number(context.req.query('since') ?? 0))),
  );
  app.get('/kv/:prefixHash', (context) => {
    const prefixes = engine.exportCache(context.req.param('prefixHash'));
    return prefixes ? context.json({ prefixes }) : context.notFound();
  });
  app.put('/kv/:prefixHash', async (context) => {
    const exported = exportedCacheSchema.safeParse(await readJson(context));
    if (!exported.success) return refuse(context, invalid(exported.error));
    engine.importCache(exported.data.prefixes);
    return context.body(null, 204);
  });
  app.post('/control', async (context) => {
    const change = engineControlSchema.safeParse(await readJson(context));
    if (!change.success) return refuse(context, invalid(change.error));
    engine.control(change.data);
    return context.body(null, 204);
  });
  app.get('/journal', (context) => context.json(engine.journal()));
  return app;
}

/**
 * The tag leaves out how old the load is: figures that are the same stand for the same report,
 * measured anew.
 */
function answerReport(context: Context, report: EngineReport): Response {
  const { load, ...rest } = report;
  const text = JSON.stringify(load === undefined ? rest : { ...rest, load: { ...load, ageMs: 0 } });
  const digest = createHash('sha256').update(text).digest('base64url');
  const etag = `W/"${digest.slice(0, TAG_LENGTH)}"`;
  if (context.req.header('if-none-match') === etag) return context.body(null, NOT_MODIFIED);
  return context.json(report, { headers: { etag } });
}

async function readJson(context: Context): Promise<unknown> {
  return context.req.json<unknown>().catch(() => undefined);
}

function refuse(context: Context, refusal: EngineRefusal): Response {
  return context.json(refusal, REFUSAL_STATUSES[refusal.refusal]);
}

function invalid(error: z.ZodError): EngineRefusal {
  return { refusal: 'invalid', reason: error.issues[0]?.message ?? 'not understood' };
}
