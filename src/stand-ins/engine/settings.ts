/**
 * What an engine stand-in is started with.
 */
import type { Clock, Milliseconds } from '../../core/clock/index.js';

/** Every span is in milliseconds; what is left out has the default named. */
export interface EngineStandInSettings {
  /** Its name in the platform's list. */
  instance: string;
  /** `host:port`; port 0 takes a free one. Default `127.0.0.1:0`. */
  listen?: string;
  /** Whether orders and requests with an old fencing number are refused. Default `checked`. */
  fencing?: Fencing;
  /** Loading the weights without a weight store. Default 50. */
  loadMs?: Milliseconds;
  /** Setting the replica up once the weights are there. Default 10. */
  startMs?: Milliseconds;
  /** Default 0.05. */
  prefillMsPerToken?: Milliseconds;
  /** For one running request; each further one adds two hundredths. Default 5. */
  decodeMsPerToken?: Milliseconds;
  /** Requests that run side by side. Default 16. */
  batchSize?: number;
  /** Requests that wait at most; further ones are refused as `overloaded`. Default 64. */
  queueLength?: number;
  /** Size of the prefix cache. Default 65,536. */
  cacheTokens?: number;
  /** How old the reported load is. Default 100. */
  reportLagMs?: Milliseconds;
  /** How late cache events can be read. Default 100. */
  cacheEventLagMs?: Milliseconds;
  /** Fraction of the cache events that are never seen. Default 0. */
  cacheEventLoss?: number;
  /** How often members look at each other. Default 100. */
  memberCheckMs?: Milliseconds;
  /** How long a member may take to answer. Default 300. */
  memberTimeoutMs?: Milliseconds;
  /** For the losses of cache events. Default 1. */
  seed?: number;
  clock?: Clock;
  /** `host:port` of a weight store to load from in place of `loadMs`. */
  weightStore?: string;
}

export type Fencing = 'checked' | 'ignored';

/** The settings with every default filled in. */
export type ResolvedSettings = Required<Omit<EngineStandInSettings, 'clock' | 'weightStore'>> & {
  weightStore: string | undefined;
};

const DEFAULTS = {
  listen: '127.0.0.1:0',
  fencing: 'checked',
  loadMs: 50,
  startMs: 10,
  prefillMsPerToken: 0.05,
  decodeMsPerToken: 5,
  batchSize: 16,
  queueLength: 64,
  cacheTokens: 65_536,
  reportLagMs: 100,
  cacheEventLagMs: 100,
  cacheEventLoss: 0,
  memberCheckMs: 100,
  memberTimeoutMs: 300,
  seed: 1,
  weightStore: undefined,
} as const;

/** Fills in what `settings` leaves out. */
export function resolveSettings(settings: EngineStandInSettings): ResolvedSettings {
  const given = Object.entries(settings).filter(([, value]) => value !== undefined);
  return { ...DEFAULTS, ...(Object.fromEntries(given) as EngineStandInSettings) };
}
