/**
 * A caller that tells a regular end of its connection from a reset.
 *
 * Node reports a reset that arrives together with data as a regular end. After such an end the system
 * refuses to write to the connection, which it does not after a regular one.
 */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';
import { HOST, KEY } from './configuration.mjs';
import { now } from './site.mjs';

let count = 0;

/** Sends one request on a connection of its own and resolves with what came back until its end. */
export function sendRaw(
  gateway,
  method,
  path,
  { deadlineMs = 1_500, body = '', headers = {} } = {},
) {
  count += 1;
  const id = `r${String(count).padStart(6, '0')}`;
  const record = { id, gateway: gateway.name, path, sentAt: now(), status: 0, body: '' };
  const [host, port] = gateway.frontend.split(':');
  const lines = Object.entries({
    Host: HOST,
    'Attempt-Id': id,
    'Deadline-Ms': deadlineMs,
    Authorization: `Bearer ${KEY}`,
    'Content-Length': Buffer.byteLength(body),
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    const chunks = [];
    const finish = (end) => {
      if (record.end !== undefined) return;
      clearTimeout(timer);
      Object.assign(
        record,
        { end, endedAt: now() },
        parse(Buffer.concat(chunks).toString('latin1')),
      );
      record.outcome = describe(record);
      socket.destroy();
      resolve(record);
    };
    const timer = setTimeout(() => finish('open'), deadlineMs + 3_000);
    socket.on('data', (chunk) => {
      chunks.push(chunk);
      const answer = parse(Buffer.concat(chunks).toString('latin1'));
      if (answer.isWhole && answer.framing !== 'connection') finish('open');
    });
    socket.on('error', () => finish('reset'));
    socket.on('end', () => {
      socket.write('\r\n', (error) => finish(error ? 'reset' : 'closed'));
    });
    socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
  });
}

/** Whether HTTP/1.1 lets the caller take the answer for whole. */
function describe({ status, framing, isWhole, end }) {
  if (status === 0) return `no answer, ${end}`;
  const isComplete = framing === 'connection' ? end === 'closed' : isWhole;
  return `${isComplete ? 'complete' : 'cut'} by ${framing}, ${end}`;
}

function parse(text) {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return { status: 0, headers: {}, body: '', isWhole: false };
  const [first, ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  const status = Number(first.split(' ')[1]);
  const rest = text.slice(headEnd + 4);
  if (headers['transfer-encoding'] === 'chunked')
    return { status, headers, framing: 'chunks', ...parseChunks(rest) };
  const length = headers['content-length'];
  if (length === undefined)
    return { status, headers, framing: 'connection', body: rest, isWhole: false };
  return { status, headers, framing: 'length', body: rest, isWhole: rest.length >= Number(length) };
}

function parseChunks(text) {
  let body = '';
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    if (lineEnd < 0) return { body, isWhole: false };
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    if (size === 0) return { body, isWhole: text.endsWith('\r\n\r\n') };
    body += text.slice(lineEnd + 2, lineEnd + 2 + size);
    at = lineEnd + 2 + size + 2;
    if (at > text.length) return { body, isWhole: false };
  }
}
