/**
 * The gossip loop: sends digests at a regular interval, and sooner after an urgent change.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { PeerClient } from '../../adapters/peers/index.js';
import {
  composeMessage,
  confirmMessage,
  computeSpendableBytes,
  isLargeFleet,
  listLivePeers,
  selectRelayedPeers,
  listSummaries,
  planRound,
  refillBudget,
  type ByteBudget,
  type DigestMessage,
  type ReceiveResult,
  type RoundTarget,
} from '../../controllers/membership/index.js';
import type { EntryContext } from '../types.js';
import type { SelfDigest } from './self-digest.js';

/** Maximum size of a message before compression. */
const MESSAGE_BUDGET_BYTES = 3_000;
/** Interval between relayed heartbeats, as a fraction of `forgetMs`. */
const HEARTBEAT_INTERVAL_RATIO = 0.05;
/** Assumed size of one exchange in planning; the budget is charged the actual bytes. */
const ESTIMATED_EXCHANGE_BYTES = 500;
/** Delay before an urgent round, so that it carries all changes made in quick succession. */
const URGENT_ROUND_DELAY_MS = 20;
/** Random variation of the round interval, as a fraction, so that entries don't synchronize. */
const JITTER_RATIO = 0.2;

/** What the gossip rounds use of the membership part. */
export interface RoundDependencies {
  peers: PeerClient;
  self: SelfDigest;
  receive(message: DigestMessage): ReceiveResult;
}

export interface GossipRounds {
  listTargets(): RoundTarget[];
  /** Composes the reply to an exchange that `from` started. */
  composeReply(from: string): DigestMessage;
  /** Charges `bytes` against the byte budget. */
  countSentBytes(bytes: number): void;
  /** Starts the next round early, since there is an urgent change. */
  requestRound(): void;
  /** Runs rounds until `stop`; calls `beforeRound` before each. */
  start(beforeRound: () => void): void;
  stop(): Promise<void>;
}

/** Creates the gossip rounds of one entry. */
export function createGossipRounds(
  context: EntryContext,
  dependencies: RoundDependencies,
): GossipRounds {
  const { board, clock, identity, random, settings } = context;
  const { bytesPerSecond, digestEveryMs, fanOut, forgetMs } = settings.membership;
  const { peers, self } = dependencies;
  const { state } = self;
  let budget: ByteBudget = { left: bytesPerSecond, at: clock.now() };
  let pauseController = new AbortController();
  let isUrgent = true;
  let isStopped = false;
  let running = Promise.resolve();
  const exchanges = new Set<Promise<void>>();

  const listTargets = (): RoundTarget[] => {
    const targets = new Map<string, RoundTarget>();
    for (const address of settings.peers) targets.set(address, { address });
    for (const [name, instance] of board.fleet.read().instances) {
      const { failureDomain, peerAddress: address } = instance;
      if (instance.role !== 'entry' || address === undefined) continue;
      targets.set(address, { address, name, failureDomain });
    }
    for (const { name, content } of listLivePeers(state, forgetMs, clock.now())) {
      const { peerAddress: address, failureDomain } = content;
      targets.set(address, { address, name, failureDomain });
    }
    targets.delete(identity.peerAddress);
    return [...targets.values()].filter((target) => target.name !== identity.name);
  };
  const composeDigest = (target: string | undefined, failureDomain?: string): DigestMessage => {
    const now = clock.now();
    const live = listLivePeers(state, forgetMs, now);
    const isLarge = isLargeFleet(listTargets().length);
    const ownDomain = identity.failureDomain;
    const relayed = selectRelayedPeers({
      peers: live,
      isLarge,
      failureDomain: ownDomain,
      targetDomain: failureDomain,
    });
    const summaries = isLarge ? listSummaries(state, live, board.fleet.read(), now) : [];
    const messageOptions = {
      target,
      relayed,
      summaries,
      heartbeatGapMs: forgetMs * HEARTBEAT_INTERVAL_RATIO,
      budgetBytes: MESSAGE_BUDGET_BYTES,
    };
    return composeMessage(state, messageOptions, now);
  };
  const exchange = async ({ address, name, failureDomain }: RoundTarget): Promise<void> => {
    const message = composeDigest(name, failureDomain);
    const answer = await peers.exchange(address, message);
    if (answer.isErr() || isStopped) return;
    const { from } = dependencies.receive(answer.value);
    confirmMessage(state, from, message, clock.now());
  };
  const runRound = (): void => {
    budget = refillBudget(budget, bytesPerSecond, clock.now());
    self.advance();
    const targets = planRound(
      {
        failureDomain: identity.failureDomain,
        targets: listTargets(),
        fanOut,
        bytesLeft: computeSpendableBytes(budget, bytesPerSecond, isUrgent),
        bytesPerExchange: ESTIMATED_EXCHANGE_BYTES,
      },
      random,
    );
    isUrgent = false;
    for (const target of targets) {
      const call = exchange(target).finally(() => exchanges.delete(call));
      exchanges.add(call);
    }
  };
  const waitForNextRound = async (): Promise<void> => {
    const jitterMs = digestEveryMs * JITTER_RATIO * (random.fraction() * 2 - 1);
    // The sleep rejects only when `requestRound` or `stop` aborts it.
    await sleep(digestEveryMs + jitterMs, undefined, { signal: pauseController.signal }).catch(
      () => undefined,
    );
    if (pauseController.signal.aborted && !isStopped) await sleep(URGENT_ROUND_DELAY_MS);
    pauseController = new AbortController();
  };
  const runLoop = async (beforeRound: () => void): Promise<void> => {
    while (!isStopped) {
      beforeRound();
      runRound();
      await waitForNextRound();
    }
  };

  return {
    listTargets,
    composeReply: (from) => composeDigest(from, state.peers.get(from)?.content.failureDomain),
    countSentBytes: (bytes) => {
      budget = { ...budget, left: budget.left - bytes };
    },
    requestRound: () => {
      isUrgent = true;
      pauseController.abort();
    },
    start: (beforeRound) => {
      running = runLoop(beforeRound);
    },
    stop: async () => {
      isStopped = true;
      pauseController.abort();
      await Promise.all([running, ...exchanges]);
    },
  };
}
