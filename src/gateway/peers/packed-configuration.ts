/**
 * Whole configurations on the way between gateways. A configuration is repetitive text, and members of a
 * failure domain may all ask the same small instance for it.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { memoizeLatest } from '../../core/collections/index.js';
import type { ServingConfiguration } from '../../ports/index.js';

/** Above what the store holds in one object. */
const MAX_BYTES = 8_388_608;

/** Compresses a configuration; repeated calls for the same one share the result. */
export const packConfiguration = memoizeLatest((configuration: ServingConfiguration): string =>
  deflateRawSync(JSON.stringify(configuration)).toString('base64'),
);

/** Throws if `packed` was not made by {@link packConfiguration}. */
export function unpackConfiguration(packed: string): ServingConfiguration {
  const text = inflateRawSync(Buffer.from(packed, 'base64'), { maxOutputLength: MAX_BYTES });
  return JSON.parse(text.toString()) as ServingConfiguration;
}
