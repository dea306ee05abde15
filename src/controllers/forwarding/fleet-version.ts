/**
 * Tells whether two gateways that know the fleet up to about the same revision know the same servers.
 *
 * A removal leaves no entry, so the newest entry of a list does not show it. A gateway that starts after a
 * removal names the revision of the newest entry, as before the removal, and must not be taken for one
 * that knows the same as those that have missed the removal. It can't name the revision of the list
 * instead: that grows with objects of other kinds, so all others would fetch a copy at each start.
 */
import { hashNames } from '../quotas/name-hash.js';
import type { ServingFleet } from './fleet.js';

/** What a gateway tells others of its fleet. */
export interface FleetVersion {
  /** All changes up to this revision are included. */
  fleetRevision: number;
  /** The fleet is as the store listed it at this later revision. */
  fleetListRevision?: number | undefined;
  /** Hash of the names of all entries; unknown of gateways of an earlier version. */
  fleetFingerprint?: string | undefined;
}

const fingerprints = new WeakMap<ServingFleet, string>();

/**
 * Hash of the names of the entries that the store has as far as `fleet` shows, in any order. Names are
 * enough: all that changes an entry without removing it gives it a later revision. Entries that disappeared
 * around an outage are left out, because gateways keep their servers for different times.
 */
export function fingerprintFleet(fleet: ServingFleet): string {
  const known = fingerprints.get(fleet);
  if (known !== undefined) return known;
  const present = [...fleet.servers.keys()].filter((id) => !fleet.vanished.has(id));
  const fingerprint = hashNames([...present, ...fleet.unreadable]);
  fingerprints.set(fleet, fingerprint);
  return fingerprint;
}

/** How a fleet compares with a list that covers its revision. */
type ListComparison = 'notCovered' | 'same' | 'different' | 'unknown';

/** Compares the fleet of `other` with that of `lister`, which was listed at a known revision. */
export function compareWithList(lister: FleetVersion, other: FleetVersion): ListComparison {
  const { fleetRevision, fleetListRevision = fleetRevision, fleetFingerprint } = lister;
  if (other.fleetRevision < fleetRevision || other.fleetRevision > fleetListRevision)
    return 'notCovered';
  if (fleetFingerprint === undefined || other.fleetFingerprint === undefined) return 'unknown';
  return fleetFingerprint === other.fleetFingerprint ? 'same' : 'different';
}
