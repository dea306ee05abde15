/**
 * Whether another member is still in the same replica, judged by its report. Pure.
 */
import type { EngineReport } from '../../adapters/engines/index.js';

/** What the order that formed the replica says of the member. */
interface ExpectedMember {
  instance: string;
  incarnation: string;
  replica: string;
  fence: number;
  /** It was seen in the replica before. */
  joined: boolean;
  /** Members accept a leader that is still loading; the leader waits until they are loaded. */
  mayLoad: boolean;
}

/** `notYet`: it may still come. `lost`: the replica is dead. */
export type MemberVerdict = 'joined' | 'notYet' | 'lost';

/** Judges by `report`, or by its absence when the member did not answer in time. */
export function judgeMember(
  expected: ExpectedMember,
  report: EngineReport | undefined,
): MemberVerdict {
  const absent = expected.joined ? 'lost' : 'notYet';
  if (!report) return absent;
  // A member that died and came back looks healthy and empty. Only its incarnation tells.
  if (report.incarnation !== expected.incarnation) return 'lost';
  if (report.instance !== expected.instance) return 'lost';
  if (!isInReplica(expected, report)) return report.fence > expected.fence ? 'lost' : absent;
  switch (report.state) {
    case 'ready':
    case 'draining':
      return 'joined';
    case 'loading':
      return expected.mayLoad ? 'joined' : absent;
    case 'idle':
    case 'failed':
      return 'lost';
  }
}

function isInReplica(expected: ExpectedMember, { replica }: EngineReport): boolean {
  return replica?.id === expected.replica && replica.fence === expected.fence;
}
