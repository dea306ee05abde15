/**
 * How the members of a replica look at each other: the leader at all others, the others at it.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Engines } from '../../adapters/engines/index.js';
import { judgeMember, type MemberVerdict } from './member-check.js';
import type { FormOrder } from './replica-state.js';
import type { ResolvedSettings } from './settings.js';

/** What the watch tells the engine. */
interface WatchListener {
  /** Every watched member is in the replica. */
  allJoined(): void;
  /** A member is gone; the watch is to be ended. */
  lost(): void;
}

type WatchedMember = FormOrder['members'][number] & { joined: boolean };

/** Watches until `signal` is aborted. */
export async function watchMembers(
  engines: Pick<Engines, 'health'>,
  order: FormOrder,
  settings: ResolvedSettings,
  listener: WatchListener,
  signal: AbortSignal,
): Promise<void> {
  const watched = listWatched(order);
  while (!signal.aborted) {
    const verdicts = await Promise.all(
      watched.map((member) => checkMember(engines, order, member, settings.memberTimeoutMs)),
    );
    reportVerdicts(watched, verdicts, listener, signal);
    await sleep(settings.memberCheckMs, undefined, { signal }).catch(() => undefined);
  }
}

function reportVerdicts(
  watched: readonly WatchedMember[],
  verdicts: readonly MemberVerdict[],
  listener: WatchListener,
  signal: AbortSignal,
): void {
  // The engine may have been ordered elsewhere while the members were asked. What they answered
  // about the old replica would then fail the new one.
  if (signal.aborted) return;
  if (verdicts.includes('lost')) listener.lost();
  else if (watched.every((member) => member.joined)) listener.allJoined();
}

function listWatched(order: FormOrder): WatchedMember[] {
  const others = order.members.filter((_, rank) => (order.rank === 0 ? rank !== 0 : rank === 0));
  return others.map((member) => ({ ...member, joined: false }));
}

async function checkMember(
  engines: Pick<Engines, 'health'>,
  order: FormOrder,
  member: WatchedMember,
  timeoutMs: number,
): Promise<MemberVerdict> {
  const report = (await engines.health(member.address, timeoutMs)).unwrapOr(undefined);
  const { instance, incarnation, joined } = member;
  const { replica, fence, rank } = order;
  const verdict = judgeMember(
    { instance, incarnation, joined, replica, fence, mayLoad: rank !== 0 },
    report,
  );
  member.joined = verdict === 'joined';
  return verdict;
}
