/**
 * A service that writes raw bytes, for responses that no HTTP library would send.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';

export interface RawService {
  address: string;
  calls(): number;
  /** When each call arrived. */
  times: readonly number[];
  stop(): void;
}

/**
 * Passes each call to `answer` with its number, its text and its number on its connection; both are
 * counted from 1.
 */
export async function startRawService(
  answer: (socket: Socket, call: number, request: string, callOnConnection: number) => void,
): Promise<RawService> {
  const sockets = new Set<Socket>();
  const times: number[] = [];
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    let callsOnConnection = 0;
    socket.on('data', (bytes) => {
      times.push(performance.now());
      callsOnConnection += 1;
      answer(socket, times.length, bytes.toString('latin1'), callsOnConnection);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    calls: () => times.length,
    times,
    stop: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Renders a complete response with `body` and, if given, the request's id. */
export function renderAnswer(body: string, requestId?: string): string {
  const id = requestId === undefined ? '' : `X-Request-Id: ${requestId}\r\n`;
  return `HTTP/1.1 200 OK\r\n${id}Content-Length: ${body.length}\r\n\r\n${body}`;
}
