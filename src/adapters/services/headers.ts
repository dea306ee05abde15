/**
 * Header fields that belong to one connection and are not passed on (RFC 9110, section 7.6.1).
 */
import type { HeaderField } from '../../controllers/calls/types.js';

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * `headers` without hop-by-hop fields, those that `Connection` names, and those in `others`.
 *
 * @example removeHopByHop([{ name: 'Connection', value: 'x-hop' }, { name: 'X-Hop', value: '1' }])
 */
export function removeHopByHop(
  headers: readonly HeaderField[],
  others: ReadonlySet<string> = new Set(),
): readonly HeaderField[] {
  const named = new Set(headers.filter(isConnection).flatMap(({ value }) => listTokens(value)));
  return headers.filter((field) => {
    const name = field.name.toLowerCase();
    return !HOP_BY_HOP.has(name) && !named.has(name) && !others.has(name);
  });
}

function isConnection(field: HeaderField): boolean {
  return field.name.toLowerCase() === 'connection';
}

function listTokens(value: string): readonly string[] {
  return value.split(',').map((token) => token.trim().toLowerCase());
}
