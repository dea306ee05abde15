/**
 * Detects lost, slow and stuck members of replicas by probing them.
 */
import {
  incarnationKey,
  type GroupMember,
  type PlannedGroup,
} from '../../controllers/groups/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { EngineCalls } from '../backends/engine-calls.js';
import type { GatewayContext } from '../types.js';

/** Results of the probes, as input for the planner. */
export interface MemberMonitor {
  /** Ids of the instances that don't answer probes. */
  lost: ReadonlySet<string>;
  /** Ids of the instances that reported a slow pace. */
  slow: ReadonlySet<string>;
  /** Names of the groups that make no progress although all members answer at a normal pace. */
  stuckGroups: ReadonlySet<string>;
  /** Probes the members of a stalled group, unless it was checked recently. */
  checkGroup(group: PlannedGroup, now: Milliseconds): void;
  /** Marks an instance as lost after the response to an order showed that it has ended. */
  markLost(member: GroupMember, evidence: string): void;
  /** Probes lost instances to find those that answer again. */
  recheckLost(now: Milliseconds): void;
  /**
   * Drops the results for all other incarnations and groups. Has to be called before each planning,
   * because a late probe may add a former incarnation again.
   */
  retain(incarnationKeys: ReadonlySet<string>, groups: ReadonlySet<string>): void;
}

/** Pace relative to normal from which an engine slows down its whole replica. */
const SLOW_PACE_RATIO = 1.8;
/** Time after which a slow result expires. */
const SLOW_TTL_MS: Milliseconds = 6_000;
/**
 * Probes without an answer before an engine counts as lost, to tolerate packet loss; the last one is
 * made from other gateways as well.
 */
const PROBE_ATTEMPTS = 2;
const RECHECK_INTERVAL_MS: Milliseconds = 1_000;
/** Interval between two checks of a suspected group. */
const GROUP_CHECK_INTERVAL_MS: Milliseconds = 500;
/** Consecutive checks without a lost or slow member after which a suspected group counts as stuck. */
const STUCK_AFTER_CHECKS = 5;
/** Time without a check after which the count of consecutive checks restarts. */
const CHECK_STREAK_TIMEOUT_MS: Milliseconds = 1_500;

interface SlowMember {
  id: string;
  expiresAt: Milliseconds;
}

interface GroupCheck {
  startedAt: Milliseconds;
  /** Consecutive checks, including this one, that found no lost or slow member. */
  passedInRow: number;
}

export function createMemberMonitor(
  { clock, logger }: Pick<GatewayContext, 'clock' | 'logger'>,
  calls: EngineCalls,
): MemberMonitor {
  /** Results are kept by incarnation key, so that they don't apply to a restarted instance. */
  const lost = new Map<string, GroupMember>();
  const stuckGroups = new Set<string>();
  const slow = new Map<string, SlowMember>();
  const checks = new Map<string, GroupCheck>();
  let nextRecheckAt = 0;

  const isLost = async (member: GroupMember): Promise<boolean> => {
    for (let attempt = 1; attempt <= PROBE_ATTEMPTS; attempt += 1) {
      const outcome = await calls.probe(member, attempt < PROBE_ATTEMPTS ? 'here' : 'all');
      switch (outcome.kind) {
        case 'answers':
          if (outcome.pace < SLOW_PACE_RATIO) slow.delete(incarnationKey(member));
          else
            slow.set(incarnationKey(member), {
              id: member.id,
              expiresAt: clock.now() + SLOW_TTL_MS,
            });
          return false;
        case 'coolingDown':
        case 'unclear':
          return false;
        case 'gone':
        case 'silent':
          break;
      }
    }
    return true;
  };
  const listSlow = (): Set<string> => {
    const now = clock.now();
    for (const [key, { expiresAt }] of slow) if (now >= expiresAt) slow.delete(key);
    return new Set([...slow.values()].map(({ id }) => id));
  };
  const checkMembers = async (group: PlannedGroup, check: GroupCheck): Promise<void> => {
    const { startedAt } = check;
    const isMemberLost = await Promise.all(group.members.map(isLost));
    const lostMembers = group.members.filter((_, index) => isMemberLost[index]);
    for (const member of lostMembers) lost.set(incarnationKey(member), member);
    const slowIds = listSlow();
    const isSlow = group.members.some(({ id }) => slowIds.has(id));
    const passedInRow = lostMembers.length > 0 || isSlow ? 0 : check.passedInRow + 1;
    check.passedInRow = passedInRow;
    if (passedInRow >= STUCK_AFTER_CHECKS) stuckGroups.add(group.name);
    logger.log('groupExamined', {
      group: group.name,
      lost: lostMembers.map(({ id }) => id).join(','),
      slow: [...slowIds].join(','),
      rounds: passedInRow,
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
    stuckGroups,
    checkGroup: (group, now) => {
      const last = checks.get(group.name);
      const elapsedMs = last ? now - last.startedAt : Infinity;
      if (elapsedMs < GROUP_CHECK_INTERVAL_MS) return;
      const passedInRow = elapsedMs < CHECK_STREAK_TIMEOUT_MS ? (last?.passedInRow ?? 0) : 0;
      const check = { startedAt: now, passedInRow };
      checks.set(group.name, check);
      void checkMembers(group, check);
    },
    markLost: (member, evidence) => {
      if (lost.has(incarnationKey(member))) return;
      lost.set(incarnationKey(member), member);
      logger.log('serverLost', { server: member.id, address: member.address, evidence });
    },
    recheckLost: (now) => {
      if (now < nextRecheckAt || lost.size === 0) return;
      nextRecheckAt = now + RECHECK_INTERVAL_MS;
      for (const member of lost.values()) {
        void calls.probe(member, 'here').then((outcome) => {
          if (outcome.kind !== 'answers') return;
          lost.delete(incarnationKey(member));
          logger.log('serverAnswersAgain', { server: member.id });
        });
      }
    },
    retain: (incarnationKeys, groups) => {
      for (const key of lost.keys()) if (!incarnationKeys.has(key)) lost.delete(key);
      for (const key of slow.keys()) if (!incarnationKeys.has(key)) slow.delete(key);
      for (const name of stuckGroups) if (!groups.has(name)) stuckGroups.delete(name);
      for (const name of checks.keys()) if (!groups.has(name)) checks.delete(name);
    },
  };
}
