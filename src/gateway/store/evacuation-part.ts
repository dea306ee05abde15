/**
 * Tracks which failure domains operators have evacuated, from the store or from a peer.
 */
import type { WritableSection } from '../../board/index.js';
import {
  applyEvacuationChanges,
  applyEvacuationState,
  ASSUMED_NO_EVACUATIONS,
  compareEvacuations,
  isStartupWaitOver,
  toEvacuationState,
  type EvacuationReport,
  UNKNOWN_EVACUATIONS,
  type Evacuations,
  type EvacuationState,
} from '../../controllers/evacuation/index.js';
import { laterProof, roundedProofAge, type Proof } from '../../controllers/freshness/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { ObjectStore } from './client.js';
import { createFollowerSwitch, type FollowerSwitch } from './follower-switch.js';
import { revisionOf } from './qualified-revision.js';

/** Writes the board sections `evacuations` and `evacuationProof`. */
export interface EvacuationPart extends GatewayPart {
  follower: FollowerSwitch;
  /** The known state for digests; undefined as long as there is none. */
  report(): EvacuationReport | undefined;
  /** Applies the state of a peer if its revision is later. */
  applyState(state: EvacuationState, peer: string): void;
  /** Records that a peer at `revision` had confirmed at `at` that there was nothing newer. */
  recordProof(revision: number, at: Milliseconds): void;
  /** Calls `listener` when evacuations have begun or ended, whoever told of it. */
  onChange(listener: (state: EvacuationState) => void): void;
}

interface EvacuationPartOptions {
  context: GatewayContext;
  store: ObjectStore;
  evacuateMs: Milliseconds;
  section: WritableSection<Evacuations | undefined>;
  proof: WritableSection<Proof | undefined>;
}

const STARTUP_CHECK_INTERVAL_MS: Milliseconds = 100;

/** An object counts by its name alone, whatever it holds. */
export function createEvacuationPart(options: EvacuationPartOptions): EvacuationPart {
  const { context, store, evacuateMs, section, proof } = options;
  const { platform, logger, clock, board, metrics } = context;
  const listeners: ((state: EvacuationState) => void)[] = [];
  let startupTimer: NodeJS.Timeout | undefined;

  const read = (): Evacuations => section.read() ?? UNKNOWN_EVACUATIONS;
  const countServers = (failureDomain: string): number =>
    [...board.fleet.read().servers.values()].filter(
      (server) => server.failureDomain === failureDomain,
    ).length;
  const apply = (state: EvacuationState, toldBy: string): void => {
    const before = read();
    const next = applyEvacuationState(before, state, clock.now());
    if (next === before) return;
    section.write(next);
    metrics.evacuatedDomains.set(next.domains.size);
    const { begun, ended } = compareEvacuations(before, next);
    const revision = revisionOf(next.revision);
    for (const failureDomain of begun) {
      const servers = countServers(failureDomain);
      logger.log('evacuationBegan', { failureDomain, servers, revision, toldBy });
    }
    for (const failureDomain of ended)
      logger.log('evacuationEnded', { failureDomain, revision, toldBy });
    const reported = toEvacuationState(next);
    if (reported && begun.length + ended.length > 0)
      for (const listener of listeners) listener(reported);
  };
  const follower = createFollowerSwitch({
    store,
    kind: platform.evacuationKind,
    context,
    proof,
    maxStalenessMs: evacuateMs,
    coalesceMs: 0,
    waitsForReachability: true,
    onList: ({ objects, revision }) => {
      apply({ revision, domains: objects.map(({ name }) => name) }, 'store');
    },
    onChanges: ({ changes }) => {
      const decoded = changes.map(({ object, deleted }) => ({
        domain: object.name,
        revision: object.revision,
        ended: deleted,
      }));
      apply(applyEvacuationChanges(read(), decoded), 'store');
    },
  });
  let readySince: Milliseconds | undefined;
  const checkStartup = (): void => {
    if (read().source === 'none') {
      const isReady = board.serving.read() !== undefined && board.fleet.read().revision > 0;
      if (isReady) readySince ??= clock.now();
      if (!isStartupWaitOver(readySince, evacuateMs, clock.now())) return;
      section.write(ASSUMED_NO_EVACUATIONS);
      logger.log('evacuationsAssumed', { waitedMs: Math.round(clock.now() - (readySince ?? 0)) });
    }
    clearInterval(startupTimer);
  };
  return {
    follower,
    report: () => {
      const state = toEvacuationState(read());
      if (state === undefined) return undefined;
      const ageMs = roundedProofAge(proof.read(), clock.now());
      return { ...state, ...(ageMs !== undefined && { ageMs }) };
    },
    applyState: apply,
    recordProof: (revision, at) => {
      if (revision > read().revision) return;
      proof.write(laterProof(proof.read(), { at, source: 'peer' }));
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
    start: () => {
      startupTimer = setInterval(checkStartup, STARTUP_CHECK_INTERVAL_MS);
    },
    stop: async () => {
      clearInterval(startupTimer);
      await follower.stop();
    },
  };
}
