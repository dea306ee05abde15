/**
 * Counts what the stand-ins of this process are sent by other processes, by the port they serve.
 */
import { subscribe } from 'node:diagnostics_channel';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Calls to one sort of server, and their bytes with headers. */
export interface TrafficCount {
  calls: number;
  requestBytes: number;
  answerBytes: number;
}

export interface Traffic {
  /** What has been counted at all ports for which `isCounted`. */
  count(isCounted: (port: number) => boolean): TrafficCount;
}

interface SocketTotals {
  read: number;
  written: number;
}

/** Starts counting; calls that this process makes to itself are left out. */
export function countTraffic(): Traffic {
  const ownPorts = new Set<number>();
  const totals = new WeakMap<Socket, SocketTotals>();
  const counts = new Map<number, TrafficCount>();
  subscribe('undici:client:connected', (message) => {
    const { socket } = message as { socket: Socket };
    const { localPort } = socket;
    if (localPort === undefined) return;
    ownPorts.add(localPort);
    // An entry of a later fleet may be given the same port.
    socket.once('close', () => ownPorts.delete(localPort));
  });
  subscribe('http.server.response.finish', (message) => {
    const { request } = message as { request: IncomingMessage };
    const { socket } = request;
    const { localPort, remotePort } = socket;
    if (localPort === undefined || remotePort === undefined || ownPorts.has(remotePort)) return;
    const before = totals.get(socket) ?? { read: 0, written: 0 };
    totals.set(socket, { read: socket.bytesRead, written: socket.bytesWritten });
    const count = counts.get(localPort) ?? { calls: 0, requestBytes: 0, answerBytes: 0 };
    counts.set(localPort, {
      calls: count.calls + 1,
      requestBytes: count.requestBytes + socket.bytesRead - before.read,
      answerBytes: count.answerBytes + socket.bytesWritten - before.written,
    });
  });
  return {
    count: (isCounted) => {
      const sum = { calls: 0, requestBytes: 0, answerBytes: 0 };
      for (const [port, count] of counts) {
        if (!isCounted(port)) continue;
        sum.calls += count.calls;
        sum.requestBytes += count.requestBytes;
        sum.answerBytes += count.answerBytes;
      }
      return sum;
    },
  };
}
