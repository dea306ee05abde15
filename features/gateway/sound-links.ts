/**
 * Links of a gateway to backend servers that are never at fault, for units without a network.
 */
import type { TrackedLinks } from '../../src/gateway/requests/backend-tracker.js';

export const SOUND_LINKS: TrackedLinks = {
  areOthersHeard: () => true,
  investigate: () => Promise.resolve('server'),
  isInReach: () => true,
  isLost: () => false,
};
