/**
 * Maintains this entry's view of the fleet and of the other entries by gossiping digests.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { PeerClient } from '../../adapters/peers/index.js';
import { evaluateReadiness, shouldProbePlatform } from '../../controllers/configuration/index.js';
import {
  choosePullSource,
  removeExpiredPeers,
  hasCaughtUp,
  isOwnChangeReplicated,
  listDepartedPeers,
  listLivePeers,
  listPeers,
  receiveMessage,
  shouldWatch,
  type DigestMessage,
  type ReceiveResult,
} from '../../controllers/membership/index.js';
import type { ConfigurationPart } from '../configuration/index.js';
import type { EntryContext } from '../types.js';
import { createFleetWriter } from './fleet-writer.js';
import { createGossipRounds } from './rounds.js';
import { createSelfDigest } from './self-digest.js';
import type { MembershipOptions, MembershipPart } from './types.js';

/** How long a starting entry waits for a ready peer once the platform has answered. */
const STARTUP_PEER_WAIT_MS = 3_000;
/** Multiple of `forgetMs` for which the digests of silent entries are kept. */
const DIGEST_RETENTION_FACTOR = 6;
const HAND_OVER_POLL_MS = 20;

/**
 * Creates the membership part of an entry. Start it after `configuration`.
 *
 * @example
 * const membership = createMembership(context, configuration, peers);
 * const server = createPeerServer({ address, handlers: membership.handlers });
 */
export function createMembership(
  context: EntryContext,
  configuration: ConfigurationPart,
  peers: PeerClient,
  options: MembershipOptions = {},
): MembershipPart {
  const { board, clock, identity, logger, random, settings, writers } = context;
  const { forgetMs } = settings.membership;
  const startedAt = clock.now();
  let lastPeerContactAt = Number.NEGATIVE_INFINITY;
  let caughtUp = false;
  const fleet = createFleetWriter(context, configuration);

  const hasPeers = (): boolean => rounds.listTargets().length > 0;
  const readiness = () =>
    evaluateReadiness(
      {
        startedAt,
        platformConfirmedAt: configuration.platformAt(),
        peerHeardAt: lastPeerContactAt,
        caughtUp,
        hasPeers: hasPeers(),
        revision: configuration.revision(),
        isolationMs: forgetMs,
        startupMs: STARTUP_PEER_WAIT_MS,
      },
      clock.now(),
    );
  const self = createSelfDigest(context, configuration, fleet, {
    extensions: options.extensions ?? [],
    isReady: options.isReady ?? (() => readiness().kind === 'ready'),
  });
  const { state } = self;

  const publishPeers = (): void => {
    const previousPeers = writers.peers.read();
    const livePeers = listPeers(state, forgetMs, clock.now());
    writers.peers.write(livePeers);
    for (const name of livePeers.keys())
      if (!previousPeers.has(name)) logger.log('peerHeard', { peer: name });
    for (const name of previousPeers.keys())
      if (!livePeers.has(name)) logger.log('peerSilent', { peer: name });
  };
  const processReceipt = (receipt: ReceiveResult): void => {
    const now = clock.now();
    lastPeerContactAt = now;
    for (const record of receipt.updated) self.import(record, now);
    const live = listLivePeers(state, forgetMs, now);
    const revision = configuration.revision();
    const needsPeer = !caughtUp && configuration.needsPeer();
    const newest = configuration.newestVersion();
    const pullQuery = { live, revision, newest, needsPeer, heard: receipt.from };
    const source = choosePullSource(pullQuery, random);
    if (source === undefined) configuration.confirm();
    else configuration.pull(source.content.peerAddress);
    caughtUp ||= !needsPeer && hasCaughtUp(live, revision, newest);
    publishPeers();
  };
  const receive = (message: DigestMessage): ReceiveResult => {
    const receipt = receiveMessage(state, message, clock.now());
    processReceipt(receipt);
    return receipt;
  };
  const rounds = createGossipRounds(context, { peers, self, receive });

  const runMaintenance = (): void => {
    const now = clock.now();
    removeExpiredPeers(state, now - forgetMs * DIGEST_RETENTION_FACTOR);
    publishPeers();
    fleet.update();
    const location = { name: identity.name, failureDomain: identity.failureDomain };
    const live = listLivePeers(state, forgetMs, now);
    configuration.setWatching(shouldWatch({ self: location, peers: live, forgetMs }, now));
    const lastContactAt = Math.max(lastPeerContactAt, configuration.platformAt());
    if (shouldProbePlatform(lastContactAt, forgetMs, now)) configuration.probe();
  };
  const unsubscribes: (() => void)[] = [];

  return {
    handlers: {
      exchange: (message) => {
        const { from } = receive(message);
        return rounds.composeReply(from);
      },
      changesSince: (since) => configuration.changesSince(since),
    },
    countSent: (bytes) => {
      rounds.countSentBytes(bytes);
    },
    readiness,
    summaries: () => [...state.summaries.values()],
    departed: () => listDepartedPeers(state, forgetMs, clock.now()),
    markLeaving: (instance, version) => {
      fleet.mergeMarks([{ instance, version }]);
    },
    announceStopping: () => {
      self.announceStopping();
      rounds.requestRound();
    },
    whenDigestDelivered: async (timeoutMs) => {
      // Peers wait for the final counts of requests in flight, which the last digest carries.
      self.advance();
      rounds.requestRound();
      const { change } = state.self;
      const deadlineAt = clock.now() + timeoutMs;
      while (!isOwnChangeReplicated(state, change, forgetMs, clock.now())) {
        if (clock.now() >= deadlineAt) return false;
        await sleep(HAND_OVER_POLL_MS);
      }
      return true;
    },
    start: () => {
      unsubscribes.push(
        configuration.instances.subscribe(() => {
          fleet.update();
        }),
      );
      unsubscribes.push(
        board.health.subscribe(() => {
          fleet.scheduleUpdate();
        }),
      );
      unsubscribes.push(
        self.onUrgentChange(() => {
          rounds.requestRound();
        }),
      );
      fleet.update();
      rounds.start(runMaintenance);
    },
    stop: async () => {
      for (const unsubscribe of unsubscribes.splice(0)) unsubscribe();
      fleet.stop();
      await rounds.stop();
    },
  };
}
