/**
 * A caller that notes everything it is sent, also of answers that break off.
 */
import { request as sendRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import { KEY } from './fixture.js';

/** What a caller got. */
export interface Received {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
  /** Length of the body as it was received. */
  bytes: number;
  /** The connection was closed before the answer was whole. */
  broken: boolean;
}

export interface Sent {
  method?: string;
  headers?: Record<string, string | string[]>;
  body?: string | Buffer;
  signal?: AbortSignal;
  /** Told each part of the body as it comes. */
  onData?: (part: string) => void;
}

/** Sends one request, with the key of workspace "market" unless `headers` name another. */
export function call(address: string, path: string, sent: Sent = {}): Promise<Received> {
  const [host, port] = address.split(':');
  const headers = { authorization: `Bearer ${KEY}`, ...sent.headers };
  return new Promise((resolve, reject) => {
    const outgoing = sendRequest(
      { host, port, path, method: sent.method ?? 'GET', headers, signal: sent.signal },
      (answer) => {
        void collect(answer, sent.onData).then(resolve);
      },
    );
    outgoing.on('error', reject);
    outgoing.end(sent.body);
  });
}

async function collect(
  answer: IncomingMessage,
  onData: (part: string) => void = () => undefined,
): Promise<Received> {
  const parts: Buffer[] = [];
  let broken = false;
  try {
    for await (const part of answer as AsyncIterable<Buffer>) {
      parts.push(part);
      onData(part.toString());
    }
  } catch {
    broken = true;
  }
  const whole = Buffer.concat(parts);
  return {
    status: answer.statusCode ?? 0,
    headers: answer.headers,
    body: whole.toString(),
    bytes: whole.length,
    broken,
  };
}

/** Sends bytes as they are and returns all that comes back until the connection is closed. */
export function sendRaw(address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host);
    let received = '';
    socket.on('data', (part) => (received += part.toString()));
    socket.on('close', () => {
      resolve(received);
    });
    socket.on('error', reject);
    socket.write(bytes);
  });
}

/** The events of a completion's stream. */
export interface ReadStream {
  text: string;
  done: boolean;
  /** The data of `error` events. */
  errors: string[];
}

/** Reads a stream of chat completion chunks. */
export function readStream(body: string): ReadStream {
  const read: ReadStream = { text: '', done: false, errors: [] };
  for (const event of body.split('\n\n').filter(Boolean)) {
    const data = /^data: ?(.*)$/m.exec(event)?.[1] ?? '';
    if (event.startsWith('event: error')) read.errors.push(data);
    else if (data === '[DONE]') read.done = true;
    else read.text += readDelta(data);
  }
  return read;
}

function readDelta(data: string): string {
  const chunk = JSON.parse(data) as { choices: { delta: { content?: string } }[] };
  return chunk.choices[0]?.delta.content ?? '';
}
