/**
 * Loading of a gateway's settings: all of the file is valid, or nothing changes.
 */
import type { ResultAsync } from 'neverthrow';
import {
  checkTable,
  parseTomlFile,
  readSettingsFile,
  type SettingsFailures,
} from '../core/settings/load.js';
import { gatewaySettingsSchema, type GatewaySettings } from './settings.js';

/** The settings in `file`, or every fault found in it. */
export function loadGatewaySettings(file: string): ResultAsync<GatewaySettings, SettingsFailures> {
  return readSettingsFile(file)
    .andThen((text) => parseTomlFile(file, text))
    .andThen((table) => checkTable(file, table, gatewaySettingsSchema));
}
