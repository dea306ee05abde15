/**
 * Decides whether this gateway follows the store, and relays store changes to its failure domain.
 *
 * Store calls are billed, so only one gateway per failure domain, the hub, follows the store. It
 * relays fleet updates in full and announces new configuration versions.
 *
 * To avoid serving outdated state, the other gateways follow the store themselves when the hub has
 * missed several exchanges, can't reach the store or lags behind, or when the last proof that their
 * state is current is too old.
 */
import { proofAge, computeProofBounds, type Proof } from '../../controllers/freshness/index.js';
import type { KnownPeer, PeerTable } from '../../controllers/peering/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { inputFirst } from '../../core/pending-input/index.js';
import type { ConfigurationPart } from '../store/configuration-part.js';
import type { EvacuationPart } from '../store/evacuation-part.js';
import type { FleetUpdate, FleetPart } from '../store/fleet-part.js';
import type { FollowMode } from '../store/follower-switch.js';
import type { GatewayContext } from '../types.js';
import { deliverRepeatedly } from './repeated-delivery.js';
import type { PeerClient } from './rpc.js';

/** Turns following of the store on and off. */
export interface FollowControl {
  /** Starts or stops following as needed. Called on every tick. */
  update(now: Milliseconds): void;
  /** Follows the store for at least {@link MIN_FOLLOW_MS}. Called when a peer had newer state. */
  forceFollow(): void;
}

interface FollowControlOptions {
  context: GatewayContext;
  table: PeerTable;
  configuration: ConfigurationPart;
  fleet: FleetPart;
  /** Absent if evacuations are not followed. */
  evacuation: EvacuationPart | undefined;
  client: PeerClient;
}

/** Minimum time for which a gateway follows on its own, to limit store calls if the hub is flapping. */
const MIN_FOLLOW_MS: Milliseconds = 1_000;

/**
 * Startup phase, in which the shorter {@link MIN_FOLLOW_AT_STARTUP_MS} applies: gateways that start
 * together each consider themselves the hub until they have heard from the others. With the longer time
 * 63 gateways made 1,162 store calls in their first four seconds, most of which one gateway of each
 * failure domain could have made.
 */
const STARTUP_MS: Milliseconds = 2_000;
/** Minimum time for which a gateway follows on its own during {@link STARTUP_MS}. */
const MIN_FOLLOW_AT_STARTUP_MS: Milliseconds = 400;

export function createFollowControl(options: FollowControlOptions): FollowControl {
  const { context, table, configuration, fleet, evacuation, client } = options;
  const { board, clock, logger, settings } = context;
  const startedAt = clock.now();
  let followUntil = Number.NEGATIVE_INFINITY;
  let mode: FollowMode = 'off';
  let followEvacuationsUntil = Number.NEGATIVE_INFINITY;
  let evacuationMode: FollowMode = 'off';

  const isStale = (proof: Proof | undefined, boundMs: Milliseconds, now: Milliseconds): boolean =>
    (proofAge(proof, now) ?? Infinity) >
    computeProofBounds(boundMs).fallbackAfterMs(table.hubInterval());
  const isAnyProofStale = (now: Milliseconds): boolean =>
    isStale(board.configurationProof.read(), settings.configuration.applyMs, now) ||
    isStale(board.fleetProof.read(), settings.servers.drainMs, now);
  /** Why this gateway has to follow on its own; undefined if it can rely on the hub. */
  const findFallbackReason = (now: Milliseconds): string | undefined => {
    const hubStatus = table.hubStatus(now);
    if (hubStatus !== 'trusted') return `the hub is ${hubStatus}`;
    return isAnyProofStale(now)
      ? 'the hub provided no recent proof that the state is current'
      : undefined;
  };
  const selectMode = (fallbackReason: string | undefined, now: Milliseconds): FollowMode => {
    if (table.isHub()) return 'forDomain';
    const isStartingUp = now - startedAt < STARTUP_MS;
    const minFollowMs = isStartingUp ? MIN_FOLLOW_AT_STARTUP_MS : MIN_FOLLOW_MS;
    if (fallbackReason !== undefined) followUntil = now + minFollowMs;
    return now < followUntil ? 'forItself' : 'off';
  };
  const setMode = (next: FollowMode, reason: string): void => {
    const before = mode;
    mode = next;
    configuration.follower.setMode(next);
    fleet.follower.setMode(next);
    if ((before === 'off') !== (next === 'off')) {
      logger.log(next === 'off' ? 'followingEnded' : 'followingBegan', { reason });
    }
  };
  /**
   * Evacuations are followed by the hub, and by others only while their own proof of them is too old.
   * Their bound is longer than the others: a hub that is briefly not trusted costs no calls.
   */
  const updateEvacuation = (now: Milliseconds): void => {
    if (evacuation === undefined || settings.evacuation === undefined) return;
    if (isStale(board.evacuationProof.read(), settings.evacuation.evacuateMs, now))
      followEvacuationsUntil = now + MIN_FOLLOW_MS;
    const others = now < followEvacuationsUntil ? 'forItself' : 'off';
    const next = table.isHub() ? 'forDomain' : others;
    if (next !== evacuationMode) evacuation.follower.setMode(next);
    evacuationMode = next;
  };
  /** A peer that misses all copies of a message detects its lag from the next digest. */
  const relay = (peers: readonly KnownPeer[], send: (address: string) => Promise<void>): void => {
    for (const peer of peers) {
      // A hub has many peers, and callers may leave while it sends to them.
      inputFirst.add(() => {
        deliverRepeatedly(() => send(peer.address)).catch((error: unknown) => {
          logger.log('peerCallFailed', { peer: peer.name, reason: describeFailure(error) });
        });
      });
    }
  };
  fleet.onUpdate((update: FleetUpdate) => {
    if (table.isHub())
      relay(table.listDomainPeers(), (address) => client.sendFleetUpdate(address, update));
  });
  configuration.onUpdate(({ source, createNotice }) => {
    if (!table.isHub()) return;
    // A hub without a store hears of it from all others, so that it need not tell them.
    const peers = [
      ...table.listDomainPeers(),
      ...(source === 'store' ? table.listOtherHubs() : []),
    ];
    if (peers.length === 0) return;
    const addressed = { ...createNotice(), holder: settings.listen.peers };
    relay(peers, (address) => client.sendConfigurationNotice(address, addressed));
  });
  return {
    update: (now) => {
      updateEvacuation(now);
      const fallbackReason = findFallbackReason(now);
      const next = selectMode(fallbackReason, now);
      if (next === mode) return;
      const reason =
        next === 'forDomain'
          ? 'this gateway is the hub'
          : (fallbackReason ?? 'the hub is trusted again');
      setMode(next, reason);
    },
    forceFollow: () => {
      const now = clock.now();
      followUntil = now + MIN_FOLLOW_MS;
      configuration.follower.abortCallsBefore(now);
      fleet.follower.abortCallsBefore(now);
      evacuation?.follower.abortCallsBefore(now);
    },
  };
}

/** The reason of the last of several failures. */
function describeFailure(error: unknown): string {
  return String(error instanceof AggregateError ? error.errors.at(-1) : error);
}
