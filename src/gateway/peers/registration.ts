/**
 * Registers this gateway in the store, so that other gateways can discover it.
 *
 * The entry also holds the quarantined requests, so that the quarantine survives a restart of all
 * gateways.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { ResultAsync } from 'neverthrow';
import * as z from 'zod';
import { knownPeerSchema, type KnownPeer } from '../../controllers/peering/index.js';
import type { QuarantineNotice } from '../../controllers/quarantine/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Quarantine } from '../requests/quarantine.js';
import type { WriteResult } from '../../ports/index.js';
import type { ObjectStore, StoreFailure } from '../store/client.js';
import type { GatewayContext } from '../types.js';

/** Keeps this gateway's entry in the store up to date. */
export interface GatewayRegistration {
  /** Writes this gateway's entry and reads those of all gateways. Retries until both have succeeded. */
  register(): Promise<void>;
  /** Rewrites the entry after a change of its content or a possible loss. */
  refresh(): void;
  stop(): void;
}

interface GatewayRegistrationOptions {
  context: Pick<GatewayContext, 'logger' | 'incarnation'>;
  store: ObjectStore;
  self: KnownPeer;
  quarantine: Quarantine;
  /** Called for each gateway found in the store. */
  onPeer(peer: KnownPeer): void;
}

/** Kind of the store objects that hold gateway entries, one per gateway name. */
export const GATEWAY_KIND = 'gateways';
/** Delay after a failed attempt. */
const RETRY_DELAY_MS: Milliseconds = 1_000;

const unixMsSchema = z.number();
const storedQuarantineSchema = z.object({
  quarantined: z.array(
    z.object({ fingerprint: z.string(), since: unixMsSchema, until: unixMsSchema }),
  ),
});

export function createGatewayRegistration(
  options: GatewayRegistrationOptions,
): GatewayRegistration {
  const { context, store, self, quarantine } = options;
  /** Revision of the last successful write. */
  let revision: number | undefined;
  let isStopping = false;
  /** The stored entry is, or may be, out of date. */
  let isStale = false;
  let isWriting = false;

  const restoreQuarantine = (value: unknown): void => {
    const parsed = storedQuarantineSchema.safeParse(value);
    if (parsed.success) quarantine.restore(fromStoredQuarantine(parsed.data.quarantined));
  };
  const tryWrite = (condition: number | undefined): ResultAsync<WriteResult, StoreFailure> => {
    const quarantined = toStoredQuarantine(quarantine.list());
    const entry = { ...self, incarnation: context.incarnation, quarantined };
    return store.write(GATEWAY_KIND, self.name, entry, condition);
  };
  /** Writes the entry, retrying once if its revision was outdated. Returns whether it was written. */
  const writeEntry = async (): Promise<boolean> => {
    let result = await tryWrite(revision);
    if (result.isOk() && result.value.kind !== 'written') {
      const existing = result.value.kind === 'conflict' ? result.value.object : undefined;
      if (existing) restoreQuarantine(existing.value);
      result = await tryWrite(existing?.revision);
    }
    const written = result.isOk() && result.value.kind === 'written' ? result.value : undefined;
    revision = written?.object.revision;
    return written !== undefined;
  };
  const readEntries = async (): Promise<boolean> => {
    const listed = await store.list(GATEWAY_KIND);
    if (listed.isErr()) {
      context.logger.log('peerCallFailed', { peer: 'store', reason: listed.error.message });
      return false;
    }
    for (const { value } of listed.value.objects) {
      const peer = knownPeerSchema.safeParse(value);
      if (peer.success) options.onPeer(peer.data);
      restoreQuarantine(value);
    }
    return true;
  };
  const registerOnce = async (): Promise<boolean> => {
    const isWritten = await writeEntry();
    const isListed = await readEntries();
    return isWritten && isListed;
  };
  const writeWhileStale = async (): Promise<void> => {
    if (isWriting) return;
    isWriting = true;
    while (!isStopping && isStale) {
      // Reset before the write, so that a change during the write triggers another one.
      isStale = false;
      if (await writeEntry()) continue;
      isStale = true;
      await sleep(RETRY_DELAY_MS);
    }
    isWriting = false;
  };
  const refresh = (): void => {
    isStale = true;
    void writeWhileStale();
  };
  quarantine.onQuarantine(refresh);
  return {
    refresh,
    // Retrying lets a gateway without a reachable seed discover its peers after a store outage.
    register: async () => {
      while (!isStopping && !(await registerOnce())) await sleep(RETRY_DELAY_MS);
    },
    stop: () => {
      isStopping = true;
    },
  };
}

type StoredQuarantine = z.infer<typeof storedQuarantineSchema>['quarantined'];

/** Converts ages to Unix timestamps, which stay valid across restarts. */
function toStoredQuarantine(quarantined: readonly QuarantineNotice[]): StoredQuarantine {
  const now = Date.now();
  return quarantined.map(({ fingerprint, ageMs, leftMs }) => ({
    fingerprint,
    since: now - ageMs,
    until: now + leftMs,
  }));
}

/** Converts Unix timestamps back to ages. Ages are clamped to 0 in case the clock was set back. */
function fromStoredQuarantine(stored: StoredQuarantine): QuarantineNotice[] {
  const now = Date.now();
  return stored.map(({ fingerprint, since, until }) => ({
    fingerprint,
    ageMs: Math.max(0, now - since),
    leftMs: until - now,
  }));
}
