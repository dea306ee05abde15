/**
 * This entry's own digest: composed from the board for each round, with what other controllers add.
 */
import { listDraining } from '../../controllers/drains/index.js';
import {
  advanceSelf,
  composeContent,
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

/** The digest of this entry and the state of all others'. */
export interface SelfDigest {
  state: GossipState;
  /** Composes the digest anew. */
  advance(): void;
  /** Hands the parts of a peer's digest to those who use them. */
  import(record: PeerRecord, now: Milliseconds): void;
  announceStopping(): void;
  /** Calls `listener` when something happened that should not wait for the next round. */
  onNews(listener: () => void): () => void;
}

/** The digest of the entry of `context`. */
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
    composeContent({
      peerAddress: identity.peerAddress,
      region: identity.region,
      failureDomain: identity.failureDomain,
      revision: configuration.revision(),
      ...listNewest(configuration),
      ready: isReady() && !isStopping,
      stopping: isStopping,
      platform: configuration.platformContact(),
      attempts: board.attempts.read(),
      draining: listDraining(board.fleet.read(), board.plans.read(), board.attempts.read()),
      leaving: fleet.marks(),
      extensions: exportExtensions(),
    });
  const exportExtensions = (): DigestContent['extensions'] => {
    const texts: DigestContent['extensions'] = {};
    for (const extension of extensions) {
      const text = extension.export();
      if (text !== undefined) texts[extension.name] = text;
    }
    return texts;
  };
  const state = createGossipState(identity.name, identity.incarnation, firstContent(context), 0);

  return {
    state,
    advance: () => {
      advanceSelf(state, compose(), clock.now());
    },
    import: (record, now) => {
      fleet.adopt(record.content.leaving);
      for (const extension of extensions) {
        const text = record.content.extensions[extension.name];
        if (text !== undefined) extension.import(record.name, text, now - record.heardAt);
      }
    },
    announceStopping: () => {
      isStopping = true;
      advanceSelf(state, compose(), clock.now());
    },
    onNews: (listener) => {
      const stops = extensions.flatMap((extension) => extension.onNews?.(listener) ?? []);
      stops.push(watchNews(context, listener));
      return () => {
        for (const stop of stops) stop();
      };
    },
  };
}

function listNewest(configuration: ConfigurationPart): Pick<DigestContent, 'newest'> {
  const newest = configuration.newest();
  return newest > configuration.revision() ? { newest } : {};
}

function firstContent({ identity }: EntryContext): DigestContent {
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

/** News is a revision that came into force and an instance that is leaving. */
function watchNews({ board }: EntryContext, listener: () => void): () => void {
  let { revision } = board.configuration.read();
  let { leaving } = board.fleet.read();
  const stopConfiguration = board.configuration.subscribe(() => {
    const after = board.configuration.read().revision;
    if (after !== revision) listener();
    revision = after;
  });
  const stopFleet = board.fleet.subscribe(() => {
    const after = board.fleet.read().leaving;
    if ([...after].some((name) => !leaving.has(name))) listener();
    leaving = after;
  });
  return () => {
    stopConfiguration();
    stopFleet();
  };
}
