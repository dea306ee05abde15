/**
 * Keeps this entry's view of the fleet and of the other entries.
 */
import { composeFleet } from '../../controllers/membership/index.js';
import type { ConfigurationPart } from '../configuration/index.js';
import type { EntryContext, Part } from '../types.js';

/**
 * The membership part of an entry.
 *
 * @example const membership = createMembership(context, configuration); membership.start();
 */
export function createMembership(context: EntryContext, configuration: ConfigurationPart): Part {
  let unsubscribe: (() => void) | undefined;
  const publish = (): void => {
    context.writers.fleet.write(composeFleet(configuration.instances.read(), new Map()));
  };
  return {
    start: () => {
      unsubscribe = configuration.instances.subscribe(publish);
      publish();
    },
    stop: () => {
      unsubscribe?.();
      return Promise.resolve();
    },
  };
}
