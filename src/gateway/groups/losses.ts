/**
 * Which members of a suspected replica do not answer.
 */
import { lifeKey, type GroupMember, type PlannedGroup } from '../../controllers/groups/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { EngineCalls } from '../backends/short-call.js';
import type { GatewayContext } from '../types.js';

/** What probes showed, for the planner. */
export interface LossFinder {
  /** Instances that answer no probe. */
  lost: ReadonlySet<string>;
  /** Instances that said they have turned slow. */
  slow: ReadonlySet<string>;
  /** Groups at which nothing moves although all members answer at their usual pace. */
  stuck: ReadonlySet<string>;
  /** Asks the members of a group at which nothing moves, unless that is under way. */
  examine(group: PlannedGroup, now: Milliseconds): void;
  /** An answer to an order showed that this instance has ended, whatever its entry says. */
  lose(member: GroupMember, evidence: string): void;
  /** Asks an instance that was lost whether it answers again. */
  recheck(now: Milliseconds): void;
  /**
   * Forgets what is not there any more; `lives` are the keys of all lives that are. A probe of a
   * former life that ends late may add it once more, until this is called again before the next plan.
   */
  keepOnly(lives: ReadonlySet<string>, groups: ReadonlySet<string>): void;
}

/** An engine this much slower than usual holds its whole replica up. */
const SLOW_PACE = 1.8;
/** How long that is believed without asking again. */
const SLOW_FOR_MS: Milliseconds = 6_000;
/** A silent engine is asked again before it counts as lost: a packet may have been. */
const PROBES = 2;
const RECHECK_EVERY_MS: Milliseconds = 1_000;
/** Between two examinations of a group while it is under suspicion. */
const EXAMINE_EVERY_MS: Milliseconds = 500;
/** Examinations in a row that find all members before the group itself counts as stuck. */
const EXAMINATIONS_UNTIL_STUCK = 5;
/** A group that was not suspected for this long starts anew. */
const FORGET_AFTER_MS: Milliseconds = 1_500;

interface SlowMember {
  id: string;
  until: Milliseconds;
}

interface Examination {
  startedAt: Milliseconds;
  /** In a row that found all members. */
  rounds: number;
}

export function createLossFinder(
  { clock, logger }: Pick<GatewayContext, 'clock' | 'logger'>,
  calls: EngineCalls,
): LossFinder {
  /** By life, so that a server that starts again is neither lost nor slow for what it was before. */
  const lost = new Map<string, GroupMember>();
  const stuck = new Set<string>();
  const slow = new Map<string, SlowMember>();
  const examinations = new Map<string, Examination>();
  let recheckAt = 0;

  const isSilent = async (member: GroupMember): Promise<boolean> => {
    for (let probe = 1; probe <= PROBES; probe += 1) {
      const outcome = await calls.probe(member);
      switch (outcome.kind) {
        case 'answers':
          if (outcome.pace < SLOW_PACE) slow.delete(lifeKey(member));
          else slow.set(lifeKey(member), { id: member.id, until: clock.now() + SLOW_FOR_MS });
          return false;
        case 'gone':
          return true;
        case 'silent':
          break;
      }
    }
    return true;
  };
  const listSlow = (): Set<string> => {
    const now = clock.now();
    for (const [life, { until }] of slow) if (now >= until) slow.delete(life);
    return new Set([...slow.values()].map(({ id }) => id));
  };
  const examineMembers = async (group: PlannedGroup, examination: Examination): Promise<void> => {
    const { startedAt } = examination;
    const silent = await Promise.all(group.members.map(isSilent));
    const missing = group.members.filter((_, index) => silent[index]);
    for (const member of missing) lost.set(lifeKey(member), member);
    const slowIds = listSlow();
    const isSlow = group.members.some(({ id }) => slowIds.has(id));
    const rounds = missing.length > 0 || isSlow ? 0 : examination.rounds + 1;
    examination.rounds = rounds;
    if (rounds >= EXAMINATIONS_UNTIL_STUCK) stuck.add(group.name);
    logger.log('groupExamined', {
      group: group.name,
      lost: missing.map(({ id }) => id).join(','),
      slow: [...slowIds].join(','),
      rounds,
      tookMs: Math.round(clock.now() - startedAt),
    });
  };
  return {
    get lost() {
      return new Set([...lost.values()].map(({ id }) => id));
    },
    get slow() {
      return listSlow();
    },
    stuck,
    examine: (group, now) => {
      const last = examinations.get(group.name);
      const since = last ? now - last.startedAt : Infinity;
      if (since < EXAMINE_EVERY_MS) return;
      const rounds = since < FORGET_AFTER_MS ? (last?.rounds ?? 0) : 0;
      const examination = { startedAt: now, rounds };
      examinations.set(group.name, examination);
      void examineMembers(group, examination);
    },
    lose: (member, evidence) => {
      if (lost.has(lifeKey(member))) return;
      lost.set(lifeKey(member), member);
      logger.log('serverLost', { server: member.id, address: member.address, evidence });
    },
    recheck: (now) => {
      if (now < recheckAt || lost.size === 0) return;
      recheckAt = now + RECHECK_EVERY_MS;
      for (const member of lost.values()) {
        void calls.probe(member).then((outcome) => {
          if (outcome.kind !== 'answers') return;
          lost.delete(lifeKey(member));
          logger.log('serverAnswersAgain', { server: member.id });
        });
      }
    },
    keepOnly: (lives, groups) => {
      for (const life of lost.keys()) if (!lives.has(life)) lost.delete(life);
      for (const life of slow.keys()) if (!lives.has(life)) slow.delete(life);
      for (const name of stuck) if (!groups.has(name)) stuck.delete(name);
      for (const name of examinations.keys()) if (!groups.has(name)) examinations.delete(name);
    },
  };
}
