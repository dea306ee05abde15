/**
 * Whole configurations on the way between gateways.
 */
import type { ServingConfiguration } from '../../ports/index.js';
import { packValue, unpackValue } from './packed-values.js';

/** Compresses a configuration. */
export function packConfiguration(configuration: ServingConfiguration): string {
  return packValue(configuration);
}

/** Throws if `packed` was not made by {@link packConfiguration}. */
export function unpackConfiguration(packed: string): ServingConfiguration {
  return unpackValue(packed) as ServingConfiguration;
}
