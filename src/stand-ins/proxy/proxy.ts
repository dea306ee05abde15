/**
 * A proxy for TCP that injects the faults of poor links, for tests and development.
 */
import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import { err, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import * as z from 'zod';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { parseJson } from '../../core/json/index.js';
import { formatAddress, parseAddress, type HostAndPort } from '../../core/listening/index.js';
import { openListener, type Listener } from '../listener/index.js';
import { joinConnection, type ProxyConnection } from './connection.js';
import {
  controlLink,
  createLink,
  proxyControlSchema,
  type Link,
  type ProxyControl,
} from './link.js';

interface ProxyOptions {
  /** Where to listen; port 0 takes a free one. */
  listen: string;
  /** Where connections are passed on to. */
  target: string;
  /** Where POST /control and GET /control/counters are served; nowhere when absent. */
  control?: string;
}

/** Since the start. Bytes are those delivered, both ways apart. */
export interface ProxyCounters {
  connections: number;
  openConnections: number;
  bytesToTarget: number;
  bytesToSource: number;
  swallowedBytes: number;
}

/** A proxy that listens. */
export interface Proxy {
  /** `host:port` for sources. */
  address: string;
  /** `host:port` of the control routes, when they were asked for. */
  controlAddress: string | undefined;
  /**
   * Switches faults on and off; only those named change. Fails when the port was taken by another
   * process while new connections were refused.
   */
  control(control: ProxyControl): ResultAsync<void, Failure<'unreachable'>>;
  counters(): ProxyCounters;
  /** Closes the listener and every connection. */
  stop(): Promise<void>;
}

/** What one proxy holds. */
interface ProxyState {
  target: HostAndPort;
  link: Link;
  connections: Set<ProxyConnection>;
  accepted: number;
  holdNext: number;
  /** Absent while new connections are refused. */
  server: Server | undefined;
}

/**
 * Starts a proxy. Fails with `unreachable` when an address can't be bound.
 *
 * A target that can't be reached shows as a reset of the accepted connection.
 *
 * @example
 * const proxy = await createProxy({ listen: '127.0.0.1:0', target: platform.address });
 */
export function createProxy(options: ProxyOptions): ResultAsync<Proxy, Failure<'unreachable'>> {
  const state: ProxyState = {
    target: parseAddress(options.target),
    link: createLink(),
    connections: new Set(),
    accepted: 0,
    holdNext: 0,
    server: undefined,
  };
  return listen(state, parseAddress(options.listen)).andThen((bound) => {
    const control: Proxy['control'] = (change) => controlProxy(state, bound, change);
    const counters = (): ProxyCounters => countProxy(state);
    return openControl(options.control, control, counters).map((controlListener) => ({
      address: formatAddress(bound),
      controlAddress: controlListener?.address,
      control,
      counters,
      stop: async () => {
        closeServer(state);
        resetAll(state);
        await controlListener?.stop();
      },
    }));
  });
}

function listen(
  state: ProxyState,
  { host, port }: HostAndPort,
): ResultAsync<AddressInfo, Failure<'unreachable'>> {
  const opened = new Promise<Result<AddressInfo, Failure<'unreachable'>>>((resolve) => {
    const server = createServer({ allowHalfOpen: true, noDelay: true }, (source) => {
      acceptConnection(state, source);
    });
    server.once('error', (error: Error) => {
      const reason = `cannot listen: ${error.message}`;
      resolve(err(createFailure('unreachable', { name: `${host}:${port}`, reason })));
    });
    server.listen(port, host, () => {
      state.server = server;
      resolve(ok(server.address() as AddressInfo));
    });
  });
  return new ResultAsync(opened);
}

function acceptConnection(state: ProxyState, source: Socket): void {
  state.accepted += 1;
  const connection = joinConnection(source, state.target, state.link, () => {
    state.connections.delete(connection);
  });
  state.connections.add(connection);
  if (state.holdNext > 0) {
    state.holdNext -= 1;
    connection.hold(['toTarget']);
  }
}

function controlProxy(
  state: ProxyState,
  bound: AddressInfo,
  change: ProxyControl,
): ResultAsync<void, Failure<'unreachable'>> {
  const control = proxyControlSchema.parse(change);
  controlLink(state.link, control);
  const { hold, refuse } = control;
  state.holdNext = control.holdNext ?? state.holdNext;
  if (hold !== undefined) {
    const ways = hold === 'both' ? (['toTarget', 'toSource'] as const) : [hold];
    for (const connection of state.connections) connection.hold(ways);
  }
  if (control.release) {
    for (const connection of [...state.connections]) connection.release();
  }
  if (control.outage !== undefined) {
    for (const connection of [...state.connections]) connection.resume();
  }
  if (control.resetAll) resetAll(state);
  if (control.cut === 'none') resetLossy(state);
  if (refuse === true) closeServer(state);
  if (refuse !== false || state.server !== undefined) return okAsync(undefined);
  return listen(state, { host: bound.address, port: bound.port }).map(() => undefined);
}

function resetAll(state: ProxyState): void {
  for (const connection of [...state.connections]) connection.reset();
}

/**
 * Ends the connections that lost bytes to a cut that is over. Passing on what comes later would
 * show the receiver a stream with a hole, which no real link does.
 */
function resetLossy(state: ProxyState): void {
  for (const connection of [...state.connections]) {
    if (connection.isLossy()) connection.reset();
  }
}

/** Stops listening; open connections go on. */
function closeServer(state: ProxyState): void {
  state.server?.close();
  state.server = undefined;
}

function countProxy({ accepted, connections, link }: ProxyState): ProxyCounters {
  return {
    connections: accepted,
    openConnections: connections.size,
    bytesToTarget: link.toTarget.deliveredBytes,
    bytesToSource: link.toSource.deliveredBytes,
    swallowedBytes: link.toTarget.swallowedBytes + link.toSource.swallowedBytes,
  };
}

function openControl(
  address: string | undefined,
  control: Proxy['control'],
  counters: () => ProxyCounters,
): ResultAsync<Listener | undefined, Failure<'unreachable'>> {
  if (address === undefined) return okAsync(undefined);
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.post('/control', async (context) => {
    const change = proxyControlSchema.safeParse(parseJson(await context.req.text()));
    if (!change.success) return context.json({ reason: z.prettifyError(change.error) }, 400);
    const result = await control(change.data);
    return result.match(
      () => context.json({}),
      (failure) => context.json({ reason: failure.message }, 409),
    );
  });
  app.get('/control/counters', (context) => context.json(counters()));
  return openListener(app, address);
}
