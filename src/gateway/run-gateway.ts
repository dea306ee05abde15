/**
 * Runs a gateway as a process: settings, signals and unexpected errors.
 */
import { createGateway, type RunningGateway } from './create-gateway.js';
import { loadGatewaySettings } from './load-settings.js';
import type { ServingPlatform } from './types.js';

const EXIT_USAGE = 2;

/** Runs a gateway with the settings in `file` until SIGTERM. */
export async function runGateway(file: string, platform: ServingPlatform): Promise<void> {
  const settings = await loadGatewaySettings(file);
  if (settings.isErr()) {
    for (const { message } of settings.error) process.stdout.write(`${message}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  // Registered before the start, so that a signal during it doesn't kill the process.
  const stopSignal = new Promise<void>((resolve) => {
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
  });
  const started: { gateway?: RunningGateway } = {};
  process.on('SIGHUP', () => {
    if (started.gateway) void validateSettings(file, started.gateway);
  });
  logUnexpectedErrors(() => started.gateway);
  const gateway = await createGateway(settings.value, platform);
  started.gateway = gateway;
  await stopSignal;
  await gateway.stop();
  process.exit(0);
}

/** Logs unexpected errors instead of ending the process, which would fail all requests in flight. */
function logUnexpectedErrors(gateway: () => RunningGateway | undefined): void {
  const log = (error: unknown): void => {
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    gateway()?.logger.log('unexpectedError', { reason });
  };
  process.on('uncaughtException', log);
  process.on('unhandledRejection', log);
}

/**
 * Validates the settings file and logs the result. A running process doesn't apply changed settings;
 * this reports faults before the next start.
 */
async function validateSettings(file: string, { logger }: RunningGateway): Promise<void> {
  const settings = await loadGatewaySettings(file);
  settings.match(
    ({ name }) => {
      logger.log('settingsRead', { name });
    },
    (failures) => {
      for (const { message } of failures) logger.log('settingsRejected', { reason: message });
    },
  );
}
