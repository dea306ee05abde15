/**
 * A small model of sharded ownership, at its best case.
 *
 * Each entry owns one shard of the keys and keeps what it knows of them in memory. It writes claims
 * and answers to the shard's log: one object for each interval, created only if absent, so that
 * whoever creates the next object owns the shard. Other entries ask the owner. Left out, in its
 * favour: reading the log on a change of owner, and looking up keys that memory has no room for.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Platform } from '../../src/adapters/platform/index.js';
import {
  nameRecord,
  type OnceCall,
  type OnceCalls,
  type OnceOutcome,
  type SendOutcome,
} from '../../src/controllers/calls/index.js';
import { createFailure } from '../../src/core/errors/index.js';
import type { Way } from './ways.js';

/** One way between entries of a region is 1 to 1.5 ms; there and back. */
const ROUND_TRIP_MS = 3;
/** As long as the batches of the other ways are apart, over nine entries. */
const INTERVAL_MS = 45;
const LEASE_MS = 6_000;

interface Claim {
  name: string;
  resolve: (isWritten: boolean) => void;
}

interface Shard {
  owner: number;
  deadSince: number | undefined;
  slot: number;
  claims: Claim[];
  answers: { name: string; outcome: OnceOutcome }[];
  outcomes: Map<string, OnceOutcome | undefined>;
  openClaims: Set<string>;
  busy: boolean;
}

/** The model over `entries` entries with one shard each. */
export function createShardedWay(platform: Platform, entries: number): Way {
  const dead = new Set<number>();
  const shards = Array.from({ length: entries }, (_, owner) => createShard(owner));

  /** The next slot of the log goes out while its owner lives and has something to write. */
  async function flush(shard: Shard): Promise<void> {
    const isIdle = shard.claims.length + shard.answers.length === 0;
    if (shard.busy || isIdle || dead.has(shard.owner)) return;
    shard.busy = true;
    const claims = shard.claims.splice(0);
    const answers = shard.answers.splice(0);
    const name = `slot-${shards.indexOf(shard)}-${shard.slot}`;
    const value = { claims: claims.map((claim) => claim.name), answers };
    const write = { kind: 'call-record', name, expected: 0, nonce: randomUUID(), value } as const;
    const result = await platform.write(write);
    const isWritten = result.isOk() && result.value.kind === 'written';
    if (isWritten) {
      shard.slot += 1;
      for (const claim of claims) shard.openClaims.add(claim.name);
      for (const answer of answers) shard.openClaims.delete(answer.name);
    } else {
      shard.answers.unshift(...answers);
    }
    for (const claim of claims) claim.resolve(isWritten && !dead.has(shard.owner));
    shard.busy = false;
  }

  function takeOver(shard: Shard): void {
    if (shard.deadSince === undefined || performance.now() - shard.deadSince < LEASE_MS) return;
    const next = shards.findIndex((_, entry) => !dead.has(entry));
    shard.owner = next;
    shard.deadSince = undefined;
  }

  const timer = setInterval(() => {
    for (const shard of shards) {
      takeOver(shard);
      void flush(shard);
    }
  }, INTERVAL_MS);
  timer.unref();

  async function run(
    entry: number,
    call: OnceCall,
    send: () => Promise<SendOutcome>,
  ): Promise<OnceOutcome> {
    const name = nameRecord(call);
    const shard = shards[parseInt(name.slice(0, 8), 16) % entries];
    if (!shard || dead.has(shard.owner)) return refuse();
    if (shard.owner !== entry) await sleep(ROUND_TRIP_MS);
    if (shard.outcomes.has(name)) return shard.outcomes.get(name) ?? refuse();
    shard.outcomes.set(name, undefined);
    const isWritten = await new Promise<boolean>((resolve) => shard.claims.push({ name, resolve }));
    if (!isWritten) {
      shard.outcomes.delete(name);
      return refuse();
    }
    const sent = await send();
    const outcome: OnceOutcome =
      sent.kind === 'answered' ? { ...sent, replayed: false } : { ...sent, kind: 'failed' };
    shard.outcomes.set(name, outcome);
    shard.answers.push({ name, outcome });
    return outcome;
  }

  return {
    calls: shards.map((_, entry): OnceCalls => ({ run: (call, send) => run(entry, call, send) })),
    kill: (entry) => {
      dead.add(entry);
      for (const shard of shards.filter(({ owner }) => owner === entry)) {
        shard.deadSince = performance.now();
        for (const claim of shard.claims.splice(0)) claim.resolve(false);
      }
    },
    countOpenClaims: (entry) =>
      shards
        .filter(({ owner }) => owner === entry)
        .reduce((sum, shard) => sum + shard.openClaims.size, 0),
  };
}

function createShard(owner: number): Shard {
  return {
    owner,
    deadSince: undefined,
    slot: 0,
    claims: [],
    answers: [],
    outcomes: new Map(),
    openClaims: new Set(),
    busy: false,
  };
}

function refuse(): OnceOutcome {
  return {
    kind: 'failed',
    failure: createFailure('recordUnavailable', { reason: 'the shard has no owner' }),
  };
}
