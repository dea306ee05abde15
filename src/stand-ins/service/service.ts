/**
 * A plain service: the pass and slot application and the gate passport application in small.
 *
 *     GET  /health                {instance, incarnation, inFlight, leaving}
 *     GET  /passes/:id            repeatable
 *     POST /passes, /slots, /check-ins   each run counts once in the journal and gets a number
 *     *    /echo/...              method, path, query, headers and body as they arrived
 *     GET  /download?bytes=N      N bytes, streamed
 *     POST /upload                size and SHA-256 of the body, read as a stream
 *     POST /control, GET /journal for tests
 */
import { createHash, randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import type { ResultAsync } from 'neverthrow';
import type { Failure } from '../../core/errors/index.js';
import { openListener } from '../listener/index.js';
import { serviceControlSchema, type CallFault, type ServiceControl } from './control.js';
import type { JournaledRun, ServiceJournal } from './journal.js';
import { streamBytes } from './payload.js';

/** What a service stand-in is started with. */
interface ServiceStandInSettings {
  /** Its name in the platform's list. */
  instance: string;
  /** `host:port`; port 0 takes a free one. Default `127.0.0.1:0`. */
  listen?: string;
  /** Time that each call takes. Default 0. */
  latencyMs?: number;
}

/** A running service stand-in. */
export interface ServiceStandIn {
  /** `host:port`. */
  address: string;
  instance: string;
  incarnation: string;
  /** Ends it at once, as a process that dies does. */
  stop: () => Promise<void>;
  journal: () => ServiceJournal;
  /** The same as POST /control. */
  control: (change: ServiceControl) => void;
}

interface Bindings {
  Bindings: HttpBindings;
}

type ServiceContext = Context<Bindings>;

/** Runs a call: its answer's body, as text. */
type RunCall = (run: number, body: string) => string;

interface ServiceState {
  instance: string;
  incarnation: string;
  latencyMs: number;
  leaving: boolean;
  refusing: boolean;
  inFlight: number;
  runCount: number;
  runs: JournaledRun[];
  faults: CallFault[];
}

const MAX_RUNS = 20_000;
const JOURNALED_BODY_CHARACTERS = 1_024;
const ACTIONS = ['/passes', '/slots', '/check-ins'] as const;

/**
 * Starts a service; each start has an incarnation of its own. Fails with `unreachable` when the
 * address can't be bound.
 *
 * @example const service = await createServiceStandIn({ instance: 'passes-1' });
 */
export function createServiceStandIn(
  settings: ServiceStandInSettings,
): ResultAsync<ServiceStandIn, Failure<'unreachable'>> {
  const state: ServiceState = {
    instance: settings.instance,
    incarnation: randomUUID(),
    latencyMs: settings.latencyMs ?? 0,
    leaving: false,
    refusing: false,
    inFlight: 0,
    runCount: 0,
    runs: [],
    faults: [],
  };
  const listen = settings.listen ?? '127.0.0.1:0';
  return openListener(createServiceRoutes(state), listen).map((listener) => ({
    address: listener.address,
    stop: () => listener.stop(),
    instance: state.instance,
    incarnation: state.incarnation,
    journal: () => readJournal(state),
    control: (change) => {
      applyControl(state, change);
    },
  }));
}

function createServiceRoutes(state: ServiceState): Hono<Bindings> {
  const app = new Hono<Bindings>();
  app.get('/health', (context) => {
    const { instance, incarnation, inFlight, leaving } = state;
    return context.json({ instance, incarnation, inFlight, leaving });
  });
  app.get('/journal', (context) => context.json(readJournal(state)));
  app.post('/control', async (context) => {
    const change = serviceControlSchema.safeParse(await context.req.json().catch(() => undefined));
    if (!change.success) return context.json({ reason: change.error.message }, 400);
    applyControl(state, change.data);
    return context.body(null, 204);
  });
  app.use(async (_, next) => {
    state.inFlight += 1;
    await next().finally(() => (state.inFlight -= 1));
  });
  app.use(async (context, next) => {
    if (!state.refusing) return next();
    return context.json({ reason: 'not taking calls' }, 503, { 'retry-after': '1' });
  });
  app.get('/passes/:id', async (context) => {
    const id = context.req.param('id');
    return serveCall(state, context, () => JSON.stringify({ id, valid: true }));
  });
  for (const path of ACTIONS) {
    app.post(path, async (context) =>
      serveCall(state, context, (run, body) =>
        JSON.stringify({ instance: state.instance, path, run, body }),
      ),
    );
  }
  app.all('/echo/*', (context) =>
    serveCall(state, context, (_, body) => JSON.stringify(describeCall(context, body))),
  );
  app.get('/download', (context) => {
    const body = streamBytes(Number(context.req.query('bytes') ?? 0));
    return context.body(body, 200, { 'content-type': 'application/octet-stream' });
  });
  app.post('/upload', async (context) => {
    const hash = createHash('sha256');
    let bytes = 0;
    for await (const part of context.env.incoming as AsyncIterable<Uint8Array>) {
      hash.update(part);
      bytes += part.length;
    }
    return context.json({ bytes, sha256: hash.digest('hex') });
  });
  return app;
}

/** Reads, runs and answers one call, with the next fault when there is one. */
async function serveCall(
  state: ServiceState,
  context: ServiceContext,
  run: RunCall,
): Promise<Response> {
  const fault = state.faults.shift();
  const body = await context.req.text();
  const { outgoing } = context.env;
  if (fault?.kind === 'hangBeforeRun') return hang(context);
  if (fault?.kind === 'resetBeforeRun') return reset(context);
  await sleep(state.latencyMs);
  const answer = run(recordRun(state, context, body), body);
  switch (fault?.kind) {
    case 'hangAfterRun':
      return hang(context);
    case 'resetAfterRun':
      return reset(context);
    case 'truncate':
      outgoing.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(answer),
      });
      outgoing.write(answer.slice(0, answer.length / 2), () => outgoing.destroy());
      return RESPONSE_ALREADY_SENT;
    case 'slow':
      await sleep(fault.ms);
      break;
    case undefined:
      break;
  }
  return context.body(answer, 200, { 'content-type': 'application/json' });
}

function recordRun(state: ServiceState, context: ServiceContext, body: string): number {
  state.runCount += 1;
  state.runs.push({
    at: Date.now(),
    instance: state.instance,
    method: context.req.method,
    path: context.req.path,
    requestId: context.req.header('x-request-id'),
    idempotencyKey: context.req.header('idempotency-key'),
    body: body.slice(0, JOURNALED_BODY_CHARACTERS),
  });
  if (state.runs.length > MAX_RUNS) state.runs.splice(0, MAX_RUNS / 10);
  return state.runCount;
}

/** Keeps the call until its caller goes. */
async function hang({ env }: ServiceContext): Promise<Response> {
  await new Promise((resolve) => env.outgoing.once('close', resolve));
  return RESPONSE_ALREADY_SENT;
}

function reset({ env }: ServiceContext): Response {
  env.incoming.socket.resetAndDestroy();
  return RESPONSE_ALREADY_SENT;
}

function describeCall(context: ServiceContext, body: string): Record<string, unknown> {
  const url = new URL(context.req.url);
  return {
    method: context.req.method,
    path: url.pathname,
    query: url.search,
    headers: context.env.incoming.headers,
    body,
  };
}

function applyControl(state: ServiceState, change: ServiceControl): void {
  state.leaving = change.leaving ?? state.leaving;
  state.refusing = change.refusing ?? state.refusing;
  state.latencyMs = change.latencyMs ?? state.latencyMs;
  state.faults.push(...(change.faults ?? []));
}

function readJournal({ instance, incarnation, runCount, runs }: ServiceState): ServiceJournal {
  return { instance, incarnation, runCount, runs };
}
