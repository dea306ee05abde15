/**
 * A test client that records complete and interrupted responses.
 */
import { request as sendRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import { KEY } from './fixture.js';

/** A response as received by the client. */
export interface ReceivedResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
  /** Length of the received body. */
  bytes: number;
  /** Whether the connection was closed before the response was complete. */
  broken: boolean;
}

export interface RequestOptions {
  method?: string;
  headers?: Record<string, string | string[]>;
  body?: string | Buffer;
  signal?: AbortSignal;
  /** Called with each chunk of the body as it arrives. */
  onData?: (chunk: string) => void;
}

/** Sends one request, with the key of workspace "market" unless `headers` contain another. */
export function call(
  address: string,
  path: string,
  options: RequestOptions = {},
): Promise<ReceivedResponse> {
  const [host, port] = address.split(':');
  const headers = { authorization: `Bearer ${KEY}`, ...options.headers };
  return new Promise((resolve, reject) => {
    const outgoing = sendRequest(
      { host, port, path, method: options.method ?? 'GET', headers, signal: options.signal },
      (response) => {
        void collect(response, options.onData).then(resolve);
      },
    );
    outgoing.on('error', reject);
    outgoing.end(options.body);
  });
}

async function collect(
  response: IncomingMessage,
  onData: (chunk: string) => void = () => undefined,
): Promise<ReceivedResponse> {
  const chunks: Buffer[] = [];
  let broken = false;
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      chunks.push(chunk);
      onData(chunk.toString());
    }
  } catch {
    broken = true;
  }
  const body = Buffer.concat(chunks);
  return {
    status: response.statusCode ?? 0,
    headers: response.headers,
    body: body.toString(),
    bytes: body.length,
    broken,
  };
}

/** Sends raw bytes and returns everything received until the connection is closed. */
export function sendRaw(address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host);
    let received = '';
    socket.on('data', (chunk) => (received += chunk.toString()));
    socket.on('close', () => {
      resolve(received);
    });
    socket.on('error', reject);
    socket.write(bytes);
  });
}

/** The parsed events of a completion stream. */
export interface ParsedStream {
  text: string;
  done: boolean;
  /** The data of `error` events. */
  errors: string[];
}

/** Parses a stream of chat completion chunks. */
export function parseStream(body: string): ParsedStream {
  const parsed: ParsedStream = { text: '', done: false, errors: [] };
  for (const event of body.split('\n\n').filter(Boolean)) {
    const data = /^data: ?(.*)$/m.exec(event)?.[1] ?? '';
    if (event.startsWith('event: error')) parsed.errors.push(data);
    else if (data === '[DONE]') parsed.done = true;
    else parsed.text += parseDelta(data);
  }
  return parsed;
}

function parseDelta(data: string): string {
  const chunk = JSON.parse(data) as { choices: { delta: { content?: string } }[] };
  return chunk.choices[0]?.delta.content ?? '';
}
