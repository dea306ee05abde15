/**
 * Short calls with JSON, for observers.
 */
import { request } from 'undici';

/** A status and a parsed body; the text itself when it is no JSON. */
export interface JsonAnswer {
  status: number;
  body: unknown;
}

const CALL_TIMEOUT_MS = 5_000;

export function getJson(address: string, path: string): Promise<JsonAnswer> {
  return call(address, 'GET', path);
}

export function sendJson(
  address: string,
  method: 'PUT' | 'POST' | 'PATCH' | 'DELETE',
  path: string,
  body?: unknown,
): Promise<JsonAnswer> {
  return call(address, method, path, JSON.stringify(body));
}

async function call(
  address: string,
  method: 'GET' | 'PUT' | 'POST' | 'PATCH' | 'DELETE',
  path: string,
  body?: string,
): Promise<JsonAnswer> {
  const answer = await request(`http://${address}${path}`, {
    method,
    headers: { 'content-type': 'application/json' },
    body: body ?? null,
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  const text = await answer.body.text();
  return { status: answer.statusCode, body: parse(text) };
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
