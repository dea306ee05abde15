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

/** Hands each call, counted from 1, to `answer`, with its text and its place on its connection. */
export async function startRawService(
  answer: (socket: Socket, call: number, request: string, place: number) => void,
): Promise<RawService> {
  const sockets = new Set<Socket>();
  let calls = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    let place = 0;
    socket.on('data', (bytes) => {
      calls += 1;
      place += 1;
      answer(socket, calls, bytes.toString('latin1'), place);
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

/** A whole answer with `body`, and with the request's id when it is named. */
export function renderAnswer(body: string, requestId?: string): string {
  const id = requestId === undefined ? '' : `X-Request-Id: ${requestId}\r\n`;
  return `HTTP/1.1 200 OK\r\n${id}Content-Length: ${body.length}\r\n\r\n${body}`;
}
