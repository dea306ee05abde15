/**
 * Links of a gateway to backend servers that are never at fault, for units without a network.
 */
import type { LinkMonitor } from '../../src/gateway/links/link-monitor.js';

export const SOUND_LINKS: Pick<LinkMonitor, 'investigate'> = {
  investigate: () => Promise.resolve('server'),
};
