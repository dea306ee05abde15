/**
 * Invalid requests that the entry must refuse.
 */
import { call, sendRaw, type ReceivedResponse, type RequestOptions } from './client.js';
import { KEY, MAX_BODY_BYTES, MODEL } from './fixture.js';

const COMPLETIONS = '/v1/chat/completions';
const BODY = JSON.stringify({ model: MODEL, messages: [{ role: 'user', content: 'hi' }] });

interface BadInput extends RequestOptions {
  path?: string;
}

const BAD_INPUTS: Readonly<Record<string, BadInput>> = {
  'no key': { headers: { authorization: '' } },
  'a wrong key': { headers: { authorization: 'Bearer guess' } },
  'broken JSON': { body: BODY.slice(0, -1) },
  'no messages': { body: JSON.stringify({ model: MODEL, messages: [] }) },
  'an unknown model': { body: BODY.replace(MODEL, 'no-such-model') },
  'a model of others': { body: BODY.replace(MODEL, 'hidden') },
  'an unknown service': { path: '/services/none/passes' },
  'an unknown route': { path: '/v2/chat' },
  'a body declared too large': { body: 'x'.repeat(MAX_BODY_BYTES + 1) },
  'a body too large in chunks': {
    body: 'x'.repeat(MAX_BODY_BYTES + 1),
    headers: { 'transfer-encoding': 'chunked' },
  },
  'a body that never ends': { headers: { 'content-length': '900' }, body: '' },
  'an unknown class': { headers: { 'x-request-class': 'royal' } },
  'a class it may not use': { headers: { 'x-request-class': 'batch' } },
  'a negative deadline': { headers: { 'x-request-deadline-ms': '-5' } },
  'a deadline of zero': { headers: { 'x-request-deadline-ms': '0' } },
  'a deadline that is no number': { headers: { 'x-request-deadline-ms': 'NaN' } },
  'a path with encoded dots': { path: '/services/gate/a%2f..%2fcheck-ins' },
  'a once-call without key': { path: '/services/gate/check-ins' },
};

/** Sends the bad input named in a scenario. */
export function sendBadInput(address: string, name: string): Promise<ReceivedResponse> {
  const input = BAD_INPUTS[name];
  if (!input) throw new Error(`no bad input "${name}"`);
  if (name === 'a body that never ends') return sendIncompleteBody(address);
  const { path = COMPLETIONS, ...sent } = input;
  return call(address, path, { method: 'POST', body: BODY, ...sent });
}

async function sendIncompleteBody(address: string): Promise<ReceivedResponse> {
  const raw = await sendRaw(address, `${renderRequestHead(['Content-Length: 900'])}{"model"`);
  const [head = '', body = ''] = raw.split('\r\n\r\n');
  return {
    status: Number(head.split(' ')[1]),
    headers: {},
    body,
    bytes: body.length,
    broken: false,
  };
}

const FRAMINGS: Readonly<Record<string, readonly string[]>> = {
  'both Content-Length and chunks': ['Content-Length: 5', 'Transfer-Encoding: chunked'],
  'two different Content-Lengths': ['Content-Length: 5', 'Content-Length: 6'],
  'the same Content-Length twice': ['Content-Length: 5', 'Content-Length: 5'],
};

/** Sends a request with the framing named in a scenario. */
export function sendRawFraming(address: string, name: string): Promise<string> {
  return sendRaw(
    address,
    `${renderRequestHead(FRAMINGS[name] ?? [])}0\r\n\r\nGET /livez HTTP/1.1\r\n`,
  );
}

function renderRequestHead(fields: readonly string[]): string {
  const lines = [`POST ${COMPLETIONS} HTTP/1.1`, 'Host: entry', `Authorization: Bearer ${KEY}`];
  return `${[...lines, ...fields].join('\r\n')}\r\n\r\n`;
}
