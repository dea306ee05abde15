/**
 * A service that writes bytes as it is told, for answers that no HTTP library would send.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';

export interface RawService {
  address: string;
  calls(): number;
  stop(): void;
}

/** Hands each call, counted from 1, to `answer`. */
export async function startRawService(
  answer: (socket: Socket, call: number) => void,
): Promise<RawService> {
  const sockets = new Set<Socket>();
  let calls = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      calls += 1;
      answer(socket, calls);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    calls: () => calls,
    stop: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** A whole answer with `body`. */
export function renderAnswer(body: string): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}
