/**
 * The other entries as an entry uses them.
 */
import type { ResultAsync } from 'neverthrow';
import type { ChangePage } from '../../controllers/configuration/index.js';
import type { DigestMessage } from '../../controllers/membership/index.js';
import type { Failure } from '../../core/errors/index.js';

export type PeerFailure = Failure<'unreachable' | 'messageInvalid'>;

/** Calls to another entry, at its `host:port` for peers. Each ends within its timeout. */
export interface PeerClient {
  /** Tells a peer what it may not know and learns the same from it. */
  exchange(address: string, message: DigestMessage): ResultAsync<DigestMessage, PeerFailure>;
  /** What the peer has that came after `since`. */
  changesSince(address: string, since: number): ResultAsync<ChangePage, PeerFailure>;
  close(): Promise<void>;
}

/** What an entry answers to the others. */
export interface PeerHandlers {
  exchange(message: DigestMessage): DigestMessage;
  changesSince(since: number): ChangePage;
}
