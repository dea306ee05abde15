/**
 * This gateway's own entry in the store, by which the others find it.
 *
 * The requests in quarantine stand there too. Guards against a loss of power of all gateways: each
 * would start without a memory, and a request that ended servers before would end as many once more.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { ResultAsync } from 'neverthrow';
import * as z from 'zod';
import { knownPeerSchema, type KnownPeer } from '../../controllers/peering/index.js';
import type { ToldQuarantine } from '../../controllers/quarantine/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { Quarantine } from '../requests/quarantine.js';
import type { WriteAnswer } from '../../ports/index.js';
import type { ObjectStore, StoreFailure } from '../store/client.js';
import type { GatewayContext } from '../types.js';

/** Keeps the entry as long as the gateway runs. */
export interface RosterEntry {
  /** Writes the entry and reads those of the others; again until both have succeeded. */
  announce(): Promise<void>;
  /** The entry is to change, or may be lost. */
  writeAgain(): void;
  stop(): void;
}

interface RosterEntryOptions {
  context: Pick<GatewayContext, 'logger' | 'incarnation'>;
  store: ObjectStore;
  self: KnownPeer;
  quarantine: Quarantine;
  /** Called with each gateway that the store names. */
  onPeer(peer: KnownPeer): void;
}

/** Kind of the objects by which gateways find each other; one for each name. */
export const GATEWAY_KIND = 'gateways';
/** After an attempt that failed; outages of the store last for seconds. */
const AGAIN_MS: Milliseconds = 1_000;

const unixMs = z.number();
const keptSchema = z.object({
  quarantined: z.array(z.object({ fingerprint: z.string(), since: unixMs, until: unixMs })),
});

export function createRosterEntry(options: RosterEntryOptions): RosterEntry {
  const { context, store, self, quarantine } = options;
  /** Of the entry as this gateway wrote it last. */
  let revision: number | undefined;
  let isStopping = false;
  /** The store's entry is not, or may not be, as it should be. */
  let isStale = false;
  let isWriting = false;

  const restore = (value: unknown): void => {
    const kept = keptSchema.safeParse(value);
    if (kept.success) quarantine.restore(fromKept(kept.data.quarantined));
  };
  const tryWrite = (condition: number | undefined): ResultAsync<WriteAnswer, StoreFailure> => {
    const quarantined = toKept(quarantine.list());
    const entry = { ...self, incarnation: context.incarnation, quarantined };
    return store.write(GATEWAY_KIND, self.name, entry, condition);
  };
  /** Whether the store has the entry as it should be. */
  const write = async (): Promise<boolean> => {
    let answer = await tryWrite(revision);
    if (answer.isOk() && answer.value.kind !== 'written') {
      const known = answer.value.kind === 'conflict' ? answer.value.object : undefined;
      if (known) restore(known.value);
      answer = await tryWrite(known?.revision);
    }
    const written = answer.isOk() && answer.value.kind === 'written' ? answer.value : undefined;
    revision = written?.object.revision;
    return written !== undefined;
  };
  const list = async (): Promise<boolean> => {
    const listed = await store.list(GATEWAY_KIND);
    if (listed.isErr()) {
      context.logger.log('peerCallFailed', { peer: 'store', reason: listed.error.message });
      return false;
    }
    for (const { value } of listed.value.objects) {
      const peer = knownPeerSchema.safeParse(value);
      if (peer.success) options.onPeer(peer.data);
      restore(value);
    }
    return true;
  };
  const announceOnce = async (): Promise<boolean> => {
    const isWritten = await write();
    const isListed = await list();
    return isWritten && isListed;
  };
  const keepWriting = async (): Promise<void> => {
    if (isWriting) return;
    isWriting = true;
    while (!isStopping && isStale) {
      // Whatever changes from here on makes it stale again.
      isStale = false;
      if (await write()) continue;
      isStale = true;
      await sleep(AGAIN_MS);
    }
    isWriting = false;
  };
  const writeAgain = (): void => {
    isStale = true;
    void keepWriting();
  };
  quarantine.onQuarantine(writeAgain);
  return {
    writeAgain,
    /**
     * Guards against a gateway that starts while the store is away and has no living seed: it would
     * serve when the store is back, and never hear of the others.
     */
    announce: async () => {
      while (!isStopping && !(await announceOnce())) await sleep(AGAIN_MS);
    },
    stop: () => {
      isStopping = true;
    },
  };
}

type Kept = z.infer<typeof keptSchema>['quarantined'];

/** Ages are of this process's clock, which ends with it. */
function toKept(quarantined: readonly ToldQuarantine[]): Kept {
  const now = Date.now();
  return quarantined.map(({ fingerprint, ageMs, leftMs }) => ({
    fingerprint,
    since: now - ageMs,
    until: now + leftMs,
  }));
}

/** Clocks may have been set back since. */
function fromKept(kept: Kept): ToldQuarantine[] {
  const now = Date.now();
  return kept.map(({ fingerprint, since, until }) => ({
    fingerprint,
    ageMs: Math.max(0, now - since),
    leftMs: until - now,
  }));
}
