/**
 * The routes of the object API at the platform stand-in.
 */
import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import * as z from 'zod';
import {
  batchWriteSchema,
  MAX_VALUE_BYTES,
  objectWriteSchema,
  type BatchResult,
  type Conflict,
} from '../../adapters/platform/index.js';
import { parseJson } from '../../core/json/index.js';
import { nameSchema, objectKindSchema } from '../../objects/index.js';
import type { CallGuard, ObjectContext } from './call-guard.js';
import type { Journal } from './journal.js';
import type { Store, StoreView, StoreWrite } from './store.js';

/** What the routes work on. */
interface ObjectSources {
  store: Store;
  /** What lists, reads and watches are answered from at the moment. */
  view: () => StoreView;
  journal: Journal;
  guard: CallGuard;
}

const MAX_BODY_BYTES = 16 * 1_048_576;
const MAX_WAIT_MS = 120_000;

const watchQuerySchema = z.object({
  kinds: z
    .string()
    .transform((kinds) => kinds.split(','))
    .pipe(z.array(objectKindSchema).min(1)),
  since: z.coerce.number().int().nonnegative(),
  waitMs: z.coerce.number().int().nonnegative().max(MAX_WAIT_MS),
});

/** The object API; values are checked for nothing but their size. */
export function createObjectRoutes(sources: ObjectSources): Hono<{ Bindings: HttpBindings }> {
  const { guard, view } = sources;
  const routes = new Hono<{ Bindings: HttpBindings }>();
  routes.use(bodyLimit({ maxSize: MAX_BODY_BYTES }));

  routes.get(
    '/objects/:kind',
    guard.read('list', (context) => {
      const kind = objectKindSchema.safeParse(context.req.param('kind'));
      if (!kind.success) return context.json({ reason: 'no such kind' }, 400);
      return context.json(view().list(kind.data));
    }),
  );

  routes.get(
    '/objects/:kind/:name',
    guard.read('read', (context) => {
      const kind = objectKindSchema.safeParse(context.req.param('kind'));
      if (!kind.success) return context.json({ reason: 'no such kind' }, 400);
      const object = view().read(kind.data, context.req.param('name') ?? '');
      if (object === undefined) return context.json({}, 404);
      return context.json(object);
    }),
  );

  routes.put(
    '/objects/:kind/:name',
    guard.write('write', async (context) => writeOne(context, sources)),
  );

  routes.post(
    '/batch',
    guard.write('batch', async (context) => writeBatch(context, sources)),
  );

  routes.get(
    '/watch',
    guard.read('watch', async (context) => {
      const query = watchQuerySchema.safeParse(context.req.query());
      if (!query.success) return context.json({ reason: z.prettifyError(query.error) }, 400);
      const { kinds, since, waitMs } = query.data;
      const hasChanges = (): boolean => view().changesAfter(kinds, since).objects.length > 0;
      const failed = await guard.waitUntil(context, hasChanges, waitMs);
      return failed ?? context.json(view().changesAfter(kinds, since));
    }),
  );
  return routes;
}

async function writeOne(context: ObjectContext, sources: ObjectSources): Promise<Response> {
  const kind = objectKindSchema.safeParse(context.req.param('kind'));
  const name = nameSchema.safeParse(context.req.param('name'));
  const body = objectWriteSchema.safeParse(parseJson(await context.req.text()));
  if (!kind.success) return context.json({ reason: 'no such kind' }, 400);
  if (!name.success) return context.json({ reason: z.prettifyError(name.error) }, 400);
  if (!body.success) return context.json({ reason: z.prettifyError(body.error) }, 400);
  const write = { ...body.data, kind: kind.data, name: name.data };
  const result = applyWrite(write, sources);
  switch (result.outcome) {
    case 'written':
      return context.json(result.object);
    case 'conflict':
      return context.json({ current: result.current } satisfies Conflict, 409);
    case 'invalid':
      return context.json({ reason: result.reason }, 413);
  }
}

async function writeBatch(context: ObjectContext, sources: ObjectSources): Promise<Response> {
  const body = batchWriteSchema.safeParse(parseJson(await context.req.text()));
  if (!body.success) return context.json({ reason: z.prettifyError(body.error) }, 400);
  const results = body.data.writes.map((write): BatchResult['results'][number] => {
    const kind = objectKindSchema.safeParse(write.kind);
    const name = nameSchema.safeParse(write.name);
    if (!kind.success || !name.success) {
      return { outcome: 'invalid', reason: 'no such kind or not a name' };
    }
    return applyWrite({ ...write, kind: kind.data, name: name.data }, sources);
  });
  return context.json({ results } satisfies BatchResult);
}

function applyWrite(write: StoreWrite, sources: ObjectSources): BatchResult['results'][number] {
  const bytes = Buffer.byteLength(JSON.stringify(write.value ?? null));
  if (bytes > MAX_VALUE_BYTES) {
    return { outcome: 'invalid', reason: `the value is larger than ${MAX_VALUE_BYTES} bytes` };
  }
  const result = sources.store.write(write);
  if (result.outcome === 'written') sources.journal.record(result.object);
  return result;
}
