/**
 * Describes for the log what plans and orders rest on: how old the plan and the entries of the instances are.
 */
import {
  isSameIncarnation,
  type DomainView,
  type PlannedGroup,
} from '../../controllers/groups/index.js';
import { proofAge } from '../../controllers/freshness/index.js';
import type { BackendServer } from '../../ports/index.js';
import { revisionOf } from '../store/qualified-revision.js';
import type { GatewayContext } from '../types.js';

/** Revision and age of this gateway's knowledge of all entries. */
export interface ViewBasis {
  viewRevision: number;
  /** Time since the view was last confirmed to be the newest; absent if it never was. */
  viewAgeMs: number | undefined;
}

export function describeView({ board, clock }: Pick<GatewayContext, 'board' | 'clock'>): ViewBasis {
  const age = proofAge(board.fleetProof.read(), clock.now());
  return {
    viewRevision: revisionOf(board.fleet.read().revision),
    viewAgeMs: age === undefined ? undefined : Math.round(age),
  };
}

/** Store revision of the entry of `server`; absent if it has none. */
export function toEntryRevision(server: BackendServer | undefined): number | undefined {
  const revision = server?.entryRevision;
  return revision === undefined ? undefined : revisionOf(revision);
}

/**
 * What each member of `group` was last known to report, with the revision of its entry.
 *
 * @example describeMembers(group, view) // 'i-1:open@88 i-2:none@90 i-3:absent i-4:lost,ready@71'
 */
export function describeMembers({ name, epoch, members }: PlannedGroup, view: DomainView): string {
  return members
    .map((member) => {
      const server = view.servers.get(member.id);
      if (server === undefined) return `${member.id}:absent`;
      const membership = server.engine?.membership;
      const isInGroup = membership?.group === name && membership.epoch === epoch;
      const other = membership === undefined ? 'none' : membership.group;
      const flags = [
        view.lost.has(member.id) ? 'lost,' : '',
        server.leaving ? 'leaving,' : '',
        isSameIncarnation(server, member) ? '' : 'restarted,',
      ].join('');
      const revision = toEntryRevision(server) ?? '';
      return `${member.id}:${flags}${isInGroup ? membership.state : other}@${revision}`;
    })
    .join(' ');
}
