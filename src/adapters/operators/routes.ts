/**
 * The operators' API, as JSON.
 *
 *     GET    /objects/:kind                 → objects, revision
 *     GET    /objects/:kind/:name           → the stored object
 *     PUT    /objects/:kind/:name           value, expected? → object, warnings
 *     DELETE /objects/:kind/:name?expected=V                 → object, warnings
 *     PATCH  /labels/:kind/:name            labels, expected? → object, warnings
 *     GET    /acceptance/:revision?wait=MS  → accepted, or pending with the entries that lag
 *     GET    /status                        → see `statusSchema`
 *     GET    /drains                        → what drains, and what holds each up
 *     POST   /drain/:instance               → object, warnings
 *     GET    /metrics, /livez, /readyz
 *
 * Errors are those of the closed list: `error`, and `faults` or `current` where there are any.
 */
import { Hono, type Context } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { err, ok, type Result, type ResultAsync } from 'neverthrow';
import * as z from 'zod';
import { createFailure, ERRORS } from '../../core/errors/index.js';
import { parseJson } from '../../core/json/index.js';
import { describeIssues } from '../../core/settings/issues.js';
import { configurationKindSchema, nameSchema, objectKindSchema } from '../../objects/index.js';
import type { Operations, Refusal } from './types.js';

const BODY_BYTES = 1_048_576;
const LONGEST_WAIT_MS = 60_000;
const SECOND = 1_000;

const version = z.number().int().nonnegative();
const querySchema = z.object({ expected: z.coerce.number().pipe(version).optional() });
const applySchema = z.strictObject({ value: z.unknown(), expected: version.optional() });
const labelSchema = z.strictObject({
  labels: z.record(z.string().min(1).max(63), z.string().max(63).nullable()),
  expected: version.optional(),
});
const acceptanceSchema = z.object({
  revision: z.coerce.number().pipe(version),
  wait: z.coerce.number().min(0).max(LONGEST_WAIT_MS).default(0),
});
const labelledKindSchema = z.enum(['model', 'service', 'workspace', 'instance']);

/** The app behind the operators' listener. */
export function createOperatorRoutes(operations: Operations): Hono {
  const app = new Hono();
  app.use(bodyLimit({ maxSize: BODY_BYTES, onError: answerTooLarge }));
  app.get('/livez', (context) => context.text('live\n'));
  app.get('/readyz', (context) => {
    const failure = operations.readiness();
    return failure === undefined ? context.text('ready\n') : refuse({ failure });
  });
  app.get('/metrics', async (context) => context.text(await operations.metrics()));
  app.get('/status', (context) => context.json(operations.status()));
  app.get('/drains', (context) => context.json({ drains: operations.drains() }));
  app.post('/drain/:instance', (context) => {
    const name = check(nameSchema, context.req.param('instance'));
    return answer(
      context,
      name.asyncAndThen((instance) => operations.drain(instance)),
    );
  });
  app.get('/acceptance/:revision', (context) => serveAcceptance(context, operations));
  addObjectRoutes(app, operations);
  app.notFound((context) => {
    const name = `${context.req.method} ${context.req.path}`;
    return refuse({ failure: createFailure('routeUnknown', { name }) });
  });
  return app;
}

function addObjectRoutes(app: Hono, operations: Operations): void {
  app.get('/objects/:kind', (context) => {
    const kind = check(objectKindSchema, context.req.param('kind'));
    return answer(
      context,
      kind.asyncAndThen((checked) => operations.list(checked)),
    );
  });
  app.get('/objects/:kind/:name', (context) => {
    const address = check(addressSchema(objectKindSchema), context.req.param());
    return answer(
      context,
      address.asyncAndThen(({ kind, name }) => operations.read(kind, name)),
    );
  });
  app.put('/objects/:kind/:name', async (context) => {
    const address = check(addressSchema(configurationKindSchema), context.req.param());
    const body = check(applySchema, parseJson(await context.req.text()));
    const change = address.andThen(({ kind, name }) =>
      body.map(({ value, expected }) => ({ kind, name, value, deleted: false, ...has(expected) })),
    );
    return answer(
      context,
      change.asyncAndThen((checked) => operations.apply(checked)),
    );
  });
  app.delete('/objects/:kind/:name', (context) => {
    const address = check(addressSchema(configurationKindSchema), context.req.param());
    const query = check(querySchema, context.req.query());
    const change = address.andThen(({ kind, name }) =>
      query.map(({ expected }) => ({ kind, name, value: null, deleted: true, ...has(expected) })),
    );
    return answer(
      context,
      change.asyncAndThen((checked) => operations.apply(checked)),
    );
  });
  app.patch('/labels/:kind/:name', async (context) => {
    const address = check(addressSchema(labelledKindSchema), context.req.param());
    const body = check(labelSchema, parseJson(await context.req.text()));
    const change = address.andThen(({ kind, name }) =>
      body.map(({ labels, expected }) => ({ kind, name, labels, ...has(expected) })),
    );
    return answer(
      context,
      change.asyncAndThen((checked) => operations.label(checked)),
    );
  });
}

async function serveAcceptance(context: Context, operations: Operations): Promise<Response> {
  const { signal } = context.req.raw;
  const query = check(acceptanceSchema, {
    revision: context.req.param('revision'),
    ...context.req.query(),
  });
  if (query.isErr()) return refuse(query.error);
  const { revision, wait } = query.value;
  const acceptance = await operations.acceptance(revision, wait, signal);
  return context.json({ revision, ...acceptance });
}

function addressSchema<Kind extends z.ZodType>(kind: Kind) {
  return z.object({ kind, name: nameSchema });
}

/** A key that is absent rather than undefined. */
function has(expected: number | undefined): { expected?: number } {
  return expected === undefined ? {} : { expected };
}

function check<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): Result<z.infer<Schema>, Refusal> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const faults = describeIssues(parsed.error, value);
  const reason = faults.map((fault) => `${fault.key} = ${fault.value}: ${fault.fix}`).join('; ');
  return err({ failure: createFailure('invalidRequest', { reason }), faults });
}

async function answer<Value>(
  context: Context,
  result: ResultAsync<Value, Refusal>,
): Promise<Response> {
  return result.match(
    (value) => context.json(value),
    (refusal) => refuse(refusal),
  );
}

function answerTooLarge(): Response {
  const failure = createFailure('bodyTooLarge', { limitBytes: BODY_BYTES });
  return refuse({ failure });
}

function refuse({ failure, ...details }: Refusal): Response {
  const { kind, message, retryAfterMs } = failure;
  const { title, hint, conclusion, status } = ERRORS[kind];
  const headers = new Headers({ 'content-type': 'application/json' });
  if (retryAfterMs !== undefined) headers.set('retry-after', inSeconds(retryAfterMs));
  const body = { error: { kind, title, message, hint, conclusion }, ...details };
  return new Response(JSON.stringify(body), { status, headers });
}

function inSeconds(span: number): string {
  return String(Math.max(1, Math.ceil(span / SECOND)));
}
