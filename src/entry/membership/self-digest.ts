/**
 * This entry's own digest: composed from the board for each round, with the extensions that other
 * parts contribute.
 */
import { listDraining } from '../../controllers/drains/index.js';
import {
  advanceSelf,
  buildDigestContent,
  createGossipState,
  type DigestContent,
  type GossipState,
  type PeerRecord,
} from '../../controllers/membership/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import type { ConfigurationPart } from '../configuration/index.js';
import type { EntryContext } from '../types.js';
import type { FleetWriter } from './fleet-writer.js';
import type { MembershipOptions } from './types.js';

/** This entry's digest, along with the gossip state of all entries. */
export interface SelfDigest {
  state: GossipState;
  /** Recomposes the digest from the current state. */
  advance(): void;
  /** Passes the leaving marks and extensions of a peer's digest to their consumers. */
  import(record: PeerRecord, now: Milliseconds): void;
  announceStopping(): void;
  /** Calls `listener` on each change that should not wait for the next round. */
  onUrgentChange(listener: () => void): () => void;
}

/** Creates the digest of the entry of `context`. */
export function createSelfDigest(
  context: EntryContext,
  configuration: ConfigurationPart,
  fleet: FleetWriter,
  options: Required<MembershipOptions>,
): SelfDigest {
  const { board, clock, identity } = context;
  const { extensions, isReady } = options;
  let isStopping = false;

  const compose = (): DigestContent =>
    buildDigestContent({
      peerAddress: identity.peerAddress,
      region: identity.region,
      failureDomain: identity.failureDomain,
      revision: configuration.revision(),
      ...composeNewestRevision(configuration),
      ready: isReady() && !isStopping,
      stopping: isStopping,
      platform: configuration.platformContact(),
      attempts: board.attempts.read(),
      draining: listDraining(board.fleet.read(), board.plans.read(), board.attempts.read()),
      leaving: fleet.currentMarks(),
      extensions: exportExtensions(),
    });
  const exportExtensions = (): DigestContent['extensions'] => {
    const exported: DigestContent['extensions'] = {};
    for (const extension of extensions) {
      const text = extension.export();
      if (text !== undefined) exported[extension.name] = text;
    }
    return exported;
  };
  const state = createGossipState(
    identity.name,
    identity.incarnation,
    createInitialContent(context),
    0,
  );

  return {
    state,
    advance: () => {
      advanceSelf(state, compose(), clock.now());
    },
    import: (record, now) => {
      fleet.mergeMarks(record.content.leaving);
      for (const extension of extensions) {
        const text = record.content.extensions[extension.name];
        if (text !== undefined) extension.import(record.name, text, now - record.heardAt);
      }
    },
    announceStopping: () => {
      isStopping = true;
      advanceSelf(state, compose(), clock.now());
    },
    onUrgentChange: (listener) => {
      const unsubscribes = extensions.flatMap(
        (extension) => extension.onUrgentChange?.(listener) ?? [],
      );
      unsubscribes.push(watchUrgentChanges(context, listener));
      return () => {
        for (const unsubscribe of unsubscribes) unsubscribe();
      };
    },
  };
}

function composeNewestRevision(configuration: ConfigurationPart): Pick<DigestContent, 'newest'> {
  const newest = configuration.newestVersion();
  return newest > configuration.revision() ? { newest } : {};
}

function createInitialContent({ identity }: EntryContext): DigestContent {
  const { peerAddress, region, failureDomain } = identity;
  return {
    peerAddress,
    region,
    failureDomain,
    revision: 0,
    ready: false,
    stopping: false,
    platform: 'unwatched',
    draining: [],
    sent: [],
    demands: [],
    leaving: [],
    extensions: {},
  };
}

/** A newly applied revision and a newly leaving instance are urgent. */
function watchUrgentChanges({ board }: EntryContext, listener: () => void): () => void {
  let { revision: knownRevision } = board.configuration.read();
  let { leaving: knownLeaving } = board.fleet.read();
  const unsubscribeConfiguration = board.configuration.subscribe(() => {
    const after = board.configuration.read().revision;
    if (after !== knownRevision) listener();
    knownRevision = after;
  });
  const unsubscribeFleet = board.fleet.subscribe(() => {
    const after = board.fleet.read().leaving;
    if ([...after].some((name) => !knownLeaving.has(name))) listener();
    knownLeaving = after;
  });
  return () => {
    unsubscribeConfiguration();
    unsubscribeFleet();
  };
}
