/**
 * The evacuated failure domains, from the store or from another gateway.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import { RETURN_MS } from './return-share.js';
import {
  MAX_NAME_CHARACTERS,
  MAX_REPORTED_DOMAINS,
  type Evacuations,
  type EvacuationState,
} from './types.js';

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
  const next = new Set(domains.filter(({ length }) => length <= MAX_NAME_CHARACTERS));
  const endedAt = new Map([...known.endedAt].filter(([, at]) => now - at < RETURN_MS));
  for (const domain of known.domains) if (!next.has(domain)) endedAt.set(domain, now);
  for (const domain of next) endedAt.delete(domain);
  return { source: 'known', revision, domains: next, endedAt };
}

/**
 * The state after `changes` from a watch, in the order in which the store lists them: an object whose
 * revision can't be read has that of the answer, which may be too high. If a peer has told of a later
 * state, that has a higher revision and stays.
 */
export function applyEvacuationChanges(
  { domains: known, revision }: Evacuations,
  changes: readonly EvacuationChange[],
): EvacuationState {
  const domains = new Set(known);
  for (const { domain, ended } of changes) {
    if (ended) domains.delete(domain);
    else domains.add(domain);
  }
  const revisions = changes.map((change) => change.revision);
  return {
    revision: revisions.length > 0 ? Math.max(...revisions) : revision,
    domains: [...domains].sort(),
  };
}

/**
 * The state for peers; undefined if there is none, or if it is larger than a message may be. Peers then
 * follow the store themselves; a part of the state would hide the rest from them.
 */
export function toEvacuationState({
  source,
  revision,
  domains,
}: Evacuations): EvacuationState | undefined {
  if (source !== 'known' || domains.size > MAX_REPORTED_DOMAINS) return undefined;
  return { revision, domains: [...domains] };
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
