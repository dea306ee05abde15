/**
 * What the other parts of an entry use of its membership part.
 */
import type { PeerHandlers } from '../../adapters/peers/index.js';
import type { Readiness } from '../../controllers/configuration/index.js';
import type { SummaryRecord } from '../../controllers/membership/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Part } from '../types.js';

/** What another controller adds to this entry's digest, and learns from those of others. */
export interface DigestExtension {
  name: 'health' | 'limits';
  /** JSON text of its own schema, within `EXTENSION_LENGTH`; undefined for nothing. */
  export(): string | undefined;
  /** Called when the digest of `peer` changed; `ageMs` is how old it is. */
  import(peer: string, text: string, ageMs: Milliseconds): void;
  /** Calls `listener` when what it exports should not wait for the next round. */
  onNews?(listener: () => void): () => void;
}

export interface MembershipOptions {
  extensions?: readonly DigestExtension[];
  /** Whether this entry as a whole takes callers; by default `readiness` alone decides. */
  isReady?: () => boolean;
}

/** Keeps the view of the other entries and writes the `fleet` and `peers` sections. */
export interface MembershipPart extends Part {
  /** What this entry answers to the others; for `createPeerServer`. */
  handlers: PeerHandlers;
  /** Counts what the peer listener and client sent against the budget of bytes. */
  countSent(bytes: number): void;
  /** Whether configuration and contact with others let this entry take callers. */
  readiness(): Readiness;
  /** Summaries of the other failure domains; empty in a small fleet. */
  summaries(): readonly SummaryRecord[];
  /** Entries that said that they stop and are heard no more. */
  departed(): ReadonlySet<string>;
  /** An operator marked `instance` as leaving; the platform's list may show it later. */
  markLeaving(instance: string, version: number): void;
  /** From now on the digest says that this entry is stopping. */
  announceStopping(): void;
  /** Resolves true when peers know that this entry stops, false after `timeoutMs`. */
  whenHandedOver(timeoutMs: Milliseconds): Promise<boolean>;
}
