/**
 * A server that speaks as badly as a scenario wants it to.
 */
import { createServer, type AddressInfo, type Socket } from 'node:net';

/** How it answers each request. */
export interface HostileAnswer {
  /** Written as they are, one after the other. */
  parts: readonly (string | Uint8Array)[];
  /** After the parts: the connection is closed, kept open, or written to without end. */
  then: 'close' | 'hang' | 'flood';
  /** What a flood repeats; one letter if absent. */
  repeat?: string;
}

/** A server on a free port of loopback. */
export interface HostileServer {
  address: string;
  /** Set it before the next request. */
  answer: HostileAnswer;
  /** Bytes written to all connections. */
  sentBytes(): number;
  stop(): void;
}

const FLOOD_BYTES = 65_536;

/** Starts one; it hangs until it is given an answer. */
export async function startHostileServer(): Promise<HostileServer> {
  const sockets = new Set<Socket>();
  let sent = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', () => {
      answerOnce(socket);
    });
  });
  const answerOnce = (socket: Socket): void => {
    const { parts, then, repeat = 'x' } = hostile.answer;
    for (const part of parts) {
      socket.write(part);
      sent += part.length;
    }
    if (then === 'close') socket.end();
    if (then === 'flood') flood(socket, repeat.repeat(Math.ceil(FLOOD_BYTES / repeat.length)));
  };
  const flood = (socket: Socket, part: string): void => {
    while (!socket.destroyed) {
      sent += part.length;
      if (socket.write(part)) continue;
      socket.once('drain', () => {
        flood(socket, part);
      });
      return;
    }
  };
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const hostile: HostileServer = {
    address: `127.0.0.1:${port}`,
    answer: { parts: [], then: 'hang' },
    sentBytes: () => sent,
    stop: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
  return hostile;
}

/** An answer of HTTP with a body that ends with the connection. */
export function respond(
  body: string | Uint8Array,
  type = 'application/json',
  status = 200,
): HostileAnswer {
  const head = `HTTP/1.1 ${status} Any\r\nContent-Type: ${type}\r\nConnection: close\r\n\r\n`;
  return { parts: [head, body], then: 'close' };
}
