/**
 * The evacuated failure domains, from the store or from another gateway.
 */
import * as z from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';
import { RETURN_MS } from './return-share.js';

const MAX_NAME_CHARACTERS = 256;
const MAX_DOMAINS = 1_000;

/** All evacuated failure domains at one qualified revision of the store. */
export const evacuationStateSchema = z.object({
  revision: z.number().nonnegative(),
  domains: z.array(z.string().max(MAX_NAME_CHARACTERS)).max(MAX_DOMAINS),
});

/** The same in a digest. Whole, so that a gateway that lags needs no further call. */
export const evacuationReportSchema = evacuationStateSchema.extend({
  /** Time since the state was proven to be the newest; absent if it never was. */
  ageMs: z.number().nonnegative().optional(),
});

export type EvacuationState = z.infer<typeof evacuationStateSchema>;
export type EvacuationReport = z.infer<typeof evacuationReportSchema>;

/** What a gateway knows of evacuations. Immutable. */
export interface Evacuations {
  /** `assumedNone`: neither the store nor a peer answered in time after the start. */
  source: 'none' | 'assumedNone' | 'known';
  /** Qualified revision that `domains` is complete up to; 0 unless known. */
  revision: number;
  domains: ReadonlySet<string>;
  /** When the evacuations that have ended recently were known to have ended. */
  endedAt: ReadonlyMap<string, Milliseconds>;
}

/** Before the first answer of the store or a peer; nothing may be sent to any backend server. */
export const UNKNOWN_EVACUATIONS: Evacuations = {
  source: 'none',
  revision: 0,
  domains: new Set(),
  endedAt: new Map(),
};

/** For a gateway that has waited for the first answer for too long. */
export const ASSUMED_NO_EVACUATIONS: Evacuations = {
  ...UNKNOWN_EVACUATIONS,
  source: 'assumedNone',
};

/** A change of one evacuation's object in the store. */
export interface EvacuationChange {
  domain: string;
  revision: number;
  ended: boolean;
}

/**
 * Whether nothing may be sent to backend servers of `failureDomain`. Without `evacuations` they are not
 * followed, and nothing is evacuated.
 */
export function isEvacuated(evacuations: Evacuations | undefined, failureDomain: string): boolean {
  if (evacuations === undefined) return false;
  return evacuations.source === 'none' || evacuations.domains.has(failureDomain);
}

/**
 * Returns `known` with `state` applied, or `known` itself if that is as new. The newest revision wins: a
 * store that was restored from an older copy has a higher era, so that its list replaces what was known.
 */
export function applyEvacuationState(
  known: Evacuations,
  { revision, domains }: EvacuationState,
  now: Milliseconds,
): Evacuations {
  if (known.source === 'known' && revision <= known.revision) return known;
  const next = new Set(domains);
  const endedAt = new Map([...known.endedAt].filter(([, at]) => now - at < RETURN_MS));
  for (const domain of known.domains) if (!next.has(domain)) endedAt.set(domain, now);
  for (const domain of next) endedAt.delete(domain);
  return { source: 'known', revision, domains: next, endedAt };
}

/**
 * The state after `changes` from a watch, in the order of their revisions. Those that `known` includes are
 * skipped: a peer may have told of later ones, which an older change must not undo.
 */
export function applyEvacuationChanges(
  known: Evacuations,
  changes: readonly EvacuationChange[],
): EvacuationState {
  const domains = new Set(known.domains);
  let { revision } = known;
  const later = changes
    .filter((change) => change.revision > known.revision)
    .sort((one, other) => one.revision - other.revision);
  for (const { domain, ended, revision: changedAt } of later) {
    if (ended) domains.delete(domain);
    else domains.add(domain);
    revision = changedAt;
  }
  return { revision, domains: [...domains].sort() };
}

/** Failure domains whose evacuation differs between two states. */
export function compareEvacuations(
  before: Evacuations,
  after: Evacuations,
): { begun: string[]; ended: string[] } {
  return {
    begun: [...after.domains].filter((domain) => !before.domains.has(domain)),
    ended: [...before.domains].filter((domain) => !after.domains.has(domain)),
  };
}
