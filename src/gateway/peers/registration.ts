/**
 * Registers this gateway in the store, so that other gateways can discover it.
 *
 * The entry also holds the quarantined requests, so that the quarantine survives a restart of all
 * gateways, and whether all gateways count this one as a member that shares the limits of the fleet.
 * Entries of gateways that were silent for long are removed.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { ResultAsync } from 'neverthrow';
import * as z from 'zod';
import { knownPeerSchema, type KnownPeer } from '../../controllers/peering/index.js';
import {
  quarantineNoticeSchema,
  type QuarantineNotice,
} from '../../controllers/quarantine/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { FleetMembers } from '../../controllers/quotas/index.js';
import type { Quarantine } from '../requests/quarantine.js';
import type { StoreObject, WriteResult } from '../../ports/index.js';
import type { ObjectStore, StoreFailure } from '../store/client.js';
import type { GatewayContext } from '../types.js';

/** Keeps this gateway's entry in the store up to date. */
export interface GatewayRegistration {
  /** Writes this gateway's entry and reads those of all gateways. Retries until both have succeeded. */
  register(): Promise<void>;
  /** Rewrites the entry after a change of its content or a possible loss. */
  refresh(): void;
  /** Lists the entries again after a possible loss of some of them. */
  relist(delayMs: Milliseconds): void;
  /** Called regularly: lists the entries again, and writes the own one when it is out of date. */
  update(now: Milliseconds): void;
  /** From now on only changes of the quarantine are written. */
  stop(): void;
  close(): void;
}

interface GatewayRegistrationOptions {
  context: Pick<GatewayContext, 'logger' | 'incarnation' | 'clock' | 'random'>;
  store: ObjectStore;
  self: KnownPeer;
  members: FleetMembers;
  quarantine: Quarantine;
  /** Called for each gateway found in the store. */
  onPeer(peer: KnownPeer): void;
}

/** Kind of the store objects that hold gateway entries, one per gateway name. */
export const GATEWAY_KIND = 'gateways';
/** Delay after a failed attempt. */
const RETRY_DELAY_MS: Milliseconds = 1_000;
/** Well below the time for which a gateway's own entry counts as present. */
const LIST_INTERVAL_MS: Milliseconds = 60_000;
const LIST_RETRY_DELAY_MS: Milliseconds = 10_000;

const unixMsSchema = z.number();
const countedSchema = z.object({ counted: z.literal(true) });
const storedQuarantineSchema = z.object({
  quarantined: z.array(
    z.object({
      // Within what other gateways accept, because it becomes part of all digests.
      fingerprint: quarantineNoticeSchema.shape.fingerprint,
      since: unixMsSchema,
      until: unixMsSchema,
    }),
  ),
});

export function createGatewayRegistration(
  options: GatewayRegistrationOptions,
): GatewayRegistration {
  const { context, store, self, members, quarantine } = options;
  const { clock, logger, random } = context;
  /** Revision of the last successful write. */
  let revision: number | undefined;
  let isStopping = false;
  let isClosed = false;
  /** The stored entry is, or may be, out of date. */
  let isStale = false;
  let isWriting = false;
  let isRegistered = false;
  let isListing = false;
  /** What the stored entry says, as far as known. */
  let isStoredAsCounted = false;
  let storedQuarantines: ReadonlySet<string> = new Set();
  let nextListAt = Number.POSITIVE_INFINITY;

  const restoreQuarantine = (value: unknown): void => {
    const parsed = storedQuarantineSchema.safeParse(value);
    if (parsed.success) quarantine.restore(fromStoredQuarantine(parsed.data.quarantined));
  };
  const restoreEntry = (value: unknown): void => {
    restoreQuarantine(value);
    members.restoreEntry(countedSchema.safeParse(value).success);
  };
  const tryWrite = (condition: number | undefined): ResultAsync<WriteResult, StoreFailure> => {
    const quarantined = toStoredQuarantine(quarantine.list());
    storedQuarantines = new Set(quarantined.map(({ fingerprint }) => fingerprint));
    isStoredAsCounted = members.isCounted;
    const entry = {
      ...self,
      incarnation: context.incarnation,
      quarantined,
      counted: isStoredAsCounted,
    };
    return store.write(GATEWAY_KIND, self.name, entry, condition);
  };
  /** Writes the entry, retrying once if its revision was outdated. Returns whether it was written. */
  const writeEntry = async (): Promise<boolean> => {
    let result = await tryWrite(revision);
    if (result.isOk() && result.value.kind !== 'written') {
      const existing = result.value.kind === 'conflict' ? result.value.object : undefined;
      if (existing) restoreEntry(existing.value);
      result = await tryWrite(existing?.revision);
    }
    const written = result.isOk() && result.value.kind === 'written' ? result.value : undefined;
    revision = written?.object.revision;
    return written !== undefined;
  };
  const readEntries = async (): Promise<boolean> => {
    const requestedAt = clock.now();
    nextListAt = requestedAt + LIST_INTERVAL_MS * (1 + random.fraction());
    const listed = await store.list(GATEWAY_KIND);
    if (listed.isErr()) {
      logger.log('peerCallFailed', { peer: 'store', reason: listed.error.message });
      return false;
    }
    const names: string[] = [];
    for (const { name, value } of listed.value.objects) {
      restoreQuarantine(value);
      const peer = knownPeerSchema.safeParse(value);
      // A gateway's own entry has its name; another one would replace what is known of a gateway.
      if (!peer.success || peer.data.name !== name) continue;
      options.onPeer(peer.data);
      names.push(name);
    }
    members.observeList(names, requestedAt, clock.now());
    if (!names.includes(self.name)) {
      refresh();
      nextListAt = requestedAt + LIST_RETRY_DELAY_MS;
    }
    removeForgotten(listed.value.objects);
    return true;
  };
  const removeForgotten = (objects: readonly StoreObject[]): void => {
    const forgettable = new Set(members.listForgettable(clock.now()));
    for (const { name, revision: listedRevision } of objects) {
      if (!forgettable.has(name)) continue;
      logger.log('peerForgotten', { peer: name });
      void store.remove(GATEWAY_KIND, name, listedRevision);
    }
  };
  const relistIfDue = async (now: Milliseconds): Promise<void> => {
    if (isListing || now < nextListAt) return;
    isListing = true;
    if (!(await readEntries())) nextListAt = now + LIST_RETRY_DELAY_MS;
    isListing = false;
  };
  const registerOnce = async (): Promise<boolean> => {
    const isWritten = await writeEntry();
    const isListed = await readEntries();
    return isWritten && isListed;
  };
  const writeWhileStale = async (): Promise<void> => {
    if (isWriting) return;
    isWriting = true;
    while (!isClosed && isStale) {
      // Reset before the write, so that a change during the write triggers another one.
      isStale = false;
      if (await writeEntry()) continue;
      isStale = true;
      await sleep(RETRY_DELAY_MS, undefined, { ref: false });
    }
    isWriting = false;
  };
  const refresh = (): void => {
    isStale = true;
    void writeWhileStale();
  };
  quarantine.onQuarantine(refresh);
  quarantine.onRelease((fingerprint) => {
    if (storedQuarantines.has(fingerprint)) refresh();
  });
  return {
    refresh,
    // Retrying lets a gateway without a reachable seed discover its peers after a store outage.
    relist: (delayMs) => {
      nextListAt = Math.min(nextListAt, clock.now() + delayMs);
    },
    update: (now) => {
      if (!isRegistered || isStopping) return;
      if (members.isCounted !== isStoredAsCounted) refresh();
      void relistIfDue(now);
    },
    register: async () => {
      while (!isStopping && !(await registerOnce())) await sleep(RETRY_DELAY_MS);
      isRegistered = true;
    },
    stop: () => {
      isStopping = true;
    },
    close: () => {
      isClosed = true;
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
