/**
 * Loads the settings of a gateway; an invalid file is rejected as a whole.
 */
import type { ResultAsync } from 'neverthrow';
import {
  checkTable,
  parseTomlFile,
  readSettingsFile,
  type SettingsFailures,
} from '../core/settings/load.js';
import { gatewaySettingsSchema, type GatewaySettings } from './settings.js';

/** Resolves to the settings in `file`, or to every fault found in it. */
export function loadGatewaySettings(file: string): ResultAsync<GatewaySettings, SettingsFailures> {
  return readSettingsFile(file)
    .andThen((text) => parseTomlFile(file, text))
    .andThen((table) => checkTable(file, table, gatewaySettingsSchema));
}
