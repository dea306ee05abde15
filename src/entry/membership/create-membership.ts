/**
 * Keeps this entry's view of the fleet and of the other entries, by rounds of digests.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { PeerClient } from '../../adapters/peers/index.js';
import { judgeReadiness, shouldProbePlatform } from '../../controllers/configuration/index.js';
import {
  choosePullSource,
  forgetPeers,
  hasCaughtUp,
  isOwnChangeKnown,
  listDeparted,
  listLive,
  listPeers,
  receiveMessage,
  shouldWatch,
  type DigestMessage,
  type Receipt,
} from '../../controllers/membership/index.js';
import type { ConfigurationPart } from '../configuration/index.js';
import type { EntryContext } from '../types.js';
import { createFleetWriter } from './fleet-writer.js';
import { createRounds } from './rounds.js';
import { createSelfDigest } from './self-digest.js';
import type { MembershipOptions, MembershipPart } from './types.js';

/** How long a starting entry waits for a ready peer when the platform has answered. */
const STARTUP_PEER_WAIT_MS = 3_000;
/** Digests are kept for several times the time after which an entry counts as gone. */
const FORGET_FACTOR = 6;
const HANDED_OVER_CHECK_MS = 20;

/**
 * The membership part of an entry. Start it after `configuration`.
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
  let peerAt = Number.NEGATIVE_INFINITY;
  let caughtUp = false;
  const fleet = createFleetWriter(context, configuration);

  const hasPeers = (): boolean => rounds.listTargets().length > 0;
  const readiness = () =>
    judgeReadiness(
      {
        startedAt,
        platformAt: configuration.platformAt(),
        peerAt,
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
    const before = writers.peers.read();
    const after = listPeers(state, forgetMs, clock.now());
    writers.peers.write(after);
    for (const name of after.keys()) if (!before.has(name)) logger.log('peerHeard', { peer: name });
    for (const name of before.keys())
      if (!after.has(name)) logger.log('peerSilent', { peer: name });
  };
  const learn = (receipt: Receipt): void => {
    const now = clock.now();
    peerAt = now;
    for (const record of receipt.updated) self.import(record, now);
    const live = listLive(state, forgetMs, now);
    const revision = configuration.revision();
    const needsPeer = !caughtUp && configuration.needsPeer();
    const newest = configuration.newest();
    const question = { live, revision, newest, needsPeer, heard: receipt.from };
    const source = choosePullSource(question, random);
    if (source === undefined) configuration.confirm();
    else configuration.pull(source.content.peerAddress);
    caughtUp ||= !needsPeer && hasCaughtUp(live, revision, newest);
    publishPeers();
  };
  const receive = (message: DigestMessage): Receipt => {
    const receipt = receiveMessage(state, message, clock.now());
    learn(receipt);
    return receipt;
  };
  const rounds = createRounds(context, { peers, self, receive });

  const tend = (): void => {
    const now = clock.now();
    forgetPeers(state, now - forgetMs * FORGET_FACTOR);
    publishPeers();
    fleet.update();
    const place = { name: identity.name, failureDomain: identity.failureDomain };
    const live = listLive(state, forgetMs, now);
    configuration.setWatching(shouldWatch({ self: place, peers: live, forgetMs }, now));
    const heardAt = Math.max(peerAt, configuration.platformAt());
    if (shouldProbePlatform(heardAt, forgetMs, now)) configuration.probe();
  };
  const unsubscribes: (() => void)[] = [];

  return {
    handlers: {
      exchange: (message) => {
        const { from } = receive(message);
        return rounds.composeAnswer(from);
      },
      changesSince: (since) => configuration.changesSince(since),
    },
    countSent: (bytes) => {
      rounds.spend(bytes);
    },
    readiness,
    summaries: () => [...state.summaries.values()],
    departed: () => listDeparted(state, forgetMs, clock.now()),
    markLeaving: (instance, version) => {
      fleet.adopt([{ instance, version }]);
    },
    announceStopping: () => {
      self.announceStopping();
      rounds.nudge();
    },
    whenHandedOver: async (timeoutMs) => {
      // The last digest has to carry the last counts: others wait for them.
      self.advance();
      rounds.nudge();
      const { change } = state.self;
      const endAt = clock.now() + timeoutMs;
      while (!isOwnChangeKnown(state, change, forgetMs, clock.now())) {
        if (clock.now() >= endAt) return false;
        await sleep(HANDED_OVER_CHECK_MS);
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
          fleet.updateSoon();
        }),
      );
      unsubscribes.push(
        self.onNews(() => {
          rounds.nudge();
        }),
      );
      fleet.update();
      rounds.start(tend);
    },
    stop: async () => {
      for (const unsubscribe of unsubscribes.splice(0)) unsubscribe();
      fleet.stop();
      await rounds.stop();
    },
  };
}
