/**
 * A gateway as a process: settings, signals, errors that nothing expected.
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
  // Before the start: a signal during it would otherwise end the process where it stands.
  const stopSignal = new Promise<void>((resolve) => {
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
  });
  const started: { gateway?: RunningGateway } = {};
  process.on('SIGHUP', () => {
    if (started.gateway) void reload(file, started.gateway);
  });
  survive(() => started.gateway);
  const gateway = await createGateway(settings.value, platform);
  started.gateway = gateway;
  await stopSignal;
  await gateway.stop();
  process.exit(0);
}

/**
 * One request that meets an error of ours must not take the others of the process with it. Every
 * such error is logged as one to report.
 */
function survive(gateway: () => RunningGateway | undefined): void {
  const log = (error: unknown): void => {
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    gateway()?.logger.log('unexpectedError', { reason });
  };
  process.on('uncaughtException', log);
  process.on('unhandledRejection', log);
}

/**
 * Reads the settings again. Addresses can't change in a running process; whether the new settings
 * are valid is told now instead of at the next start.
 */
async function reload(file: string, { logger }: RunningGateway): Promise<void> {
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
