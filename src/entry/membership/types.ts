/**
 * The interface of an entry's membership part.
 */
import type { PeerHandlers } from '../../adapters/peers/index.js';
import type { Readiness } from '../../controllers/configuration/index.js';
import type { SummaryRecord } from '../../controllers/membership/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Part } from '../types.js';

/** Data that another part adds to this entry's digest and reads from the digests of peers. */
export interface DigestExtension {
  name: 'health' | 'limits' | 'quarantine';
  /** JSON text in its own schema, at most `MAX_EXTENSION_LENGTH` characters; undefined to omit it. */
  export(): string | undefined;
  /** Called when the digest of `peer` changed; `ageMs` is the age of the digest. */
  import(peer: string, text: string, ageMs: Milliseconds): void;
  /** Calls `listener` when the exported data should not wait for the next round. */
  onUrgentChange?(listener: () => void): () => void;
}

export interface MembershipOptions {
  extensions?: readonly DigestExtension[];
  /** Whether this entry as a whole accepts callers; defaults to the result of `readiness`. */
  isReady?: () => boolean;
}

/** Maintains the view of the other entries and writes the `fleet` and `peers` sections. */
export interface MembershipPart extends Part {
  /** Handlers for the calls of other entries; pass them to `createPeerServer`. */
  handlers: PeerHandlers;
  /** Charges bytes sent by the peer server and client against the gossip byte budget. */
  countSent(bytes: number): void;
  /** Whether this entry's configuration and its contact with peers allow it to accept callers. */
  readiness(): Readiness;
  /** Summaries of the other failure domains; empty in a small fleet. */
  summaries(): readonly SummaryRecord[];
  /** Entries that announced their stop and have since gone silent. */
  departed(): ReadonlySet<string>;
  /** Records that an operator marked `instance` as leaving, before the platform's list shows it. */
  markLeaving(instance: string, version: number): void;
  /** Marks this entry as stopping in its digest. */
  announceStopping(): void;
  /** Resolves true once enough peers hold this entry's latest digest, false after `timeoutMs`. */
  whenDigestDelivered(timeoutMs: Milliseconds): Promise<boolean>;
}
