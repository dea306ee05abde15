/**
 * The loop that sends digests: a round at every interval, and at once when there is news.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { PeerClient } from '../../adapters/peers/index.js';
import {
  composeMessage,
  confirmMessage,
  findSpendable,
  isLargeFleet,
  listLive,
  listRelayed,
  listSummaries,
  planRound,
  refillBudget,
  type ByteBudget,
  type DigestMessage,
  type Receipt,
  type RoundTarget,
} from '../../controllers/membership/index.js';
import type { EntryContext } from '../types.js';
import type { SelfDigest } from './self-digest.js';

/** Of a message before it is deflated. */
const MESSAGE_BUDGET_BYTES = 3_000;
/** Heartbeats are passed on this often, as a part of the time after which an entry is forgotten. */
const HEARTBEAT_GAP = 0.05;
/** What one exchange is reckoned to take; what it took is counted. */
const EXCHANGE_BYTES = 500;
/** News waits this long for more of it. */
const NEWS_PAUSE_MS = 20;
/** Rounds are spread by this part of their interval, so that entries don't fall into step. */
const JITTER = 0.2;

/** What the rounds use of the membership part. */
export interface RoundParts {
  peers: PeerClient;
  self: SelfDigest;
  receive(message: DigestMessage): Receipt;
}

export interface Rounds {
  listTargets(): RoundTarget[];
  /** The other half of an exchange that `from` began. */
  composeAnswer(from: string): DigestMessage;
  spend(bytes: number): void;
  /** A round soon. */
  nudge(): void;
  /** Runs rounds until `stop`; `tend` is called before each. */
  start(tend: () => void): void;
  stop(): Promise<void>;
}

/** The rounds of one entry. */
export function createRounds(context: EntryContext, parts: RoundParts): Rounds {
  const { board, clock, identity, random, settings } = context;
  const { bytesPerSecond, digestEveryMs, fanOut, forgetMs } = settings.membership;
  const { peers, self } = parts;
  const { state } = self;
  let budget: ByteBudget = { left: bytesPerSecond, at: clock.now() };
  let wake = new AbortController();
  let hasNews = true;
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
    for (const { name, content } of listLive(state, forgetMs, clock.now())) {
      const { peerAddress: address, failureDomain } = content;
      targets.set(address, { address, name, failureDomain });
    }
    targets.delete(identity.peerAddress);
    return [...targets.values()].filter((target) => target.name !== identity.name);
  };
  const compose = (target: string | undefined, failureDomain?: string): DigestMessage => {
    const now = clock.now();
    const live = listLive(state, forgetMs, now);
    const isLarge = isLargeFleet(listTargets().length);
    const own = identity.failureDomain;
    const relayed = listRelayed({
      peers: live,
      isLarge,
      failureDomain: own,
      targetDomain: failureDomain,
    });
    const summaries = isLarge ? listSummaries(state, live, board.fleet.read(), now) : [];
    const question = {
      target,
      relayed,
      summaries,
      heartbeatGapMs: forgetMs * HEARTBEAT_GAP,
      budgetBytes: MESSAGE_BUDGET_BYTES,
    };
    return composeMessage(state, question, now);
  };
  const exchange = async ({ address, name, failureDomain }: RoundTarget): Promise<void> => {
    const message = compose(name, failureDomain);
    const answer = await peers.exchange(address, message);
    if (answer.isErr() || isStopped) return;
    const { from } = parts.receive(answer.value);
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
        bytesLeft: findSpendable(budget, bytesPerSecond, hasNews),
        bytesPerExchange: EXCHANGE_BYTES,
      },
      random,
    );
    hasNews = false;
    for (const target of targets) {
      const call = exchange(target).finally(() => exchanges.delete(call));
      exchanges.add(call);
    }
  };
  const pause = async (): Promise<void> => {
    const spread = digestEveryMs * JITTER * (random.fraction() * 2 - 1);
    // The only rejection is that of the signal: there is news.
    await sleep(digestEveryMs + spread, undefined, { signal: wake.signal }).catch(() => undefined);
    if (wake.signal.aborted && !isStopped) await sleep(NEWS_PAUSE_MS);
    wake = new AbortController();
  };
  const run = async (tend: () => void): Promise<void> => {
    while (!isStopped) {
      tend();
      runRound();
      await pause();
    }
  };

  return {
    listTargets,
    composeAnswer: (from) => compose(from, state.peers.get(from)?.content.failureDomain),
    spend: (bytes) => {
      budget = { ...budget, left: budget.left - bytes };
    },
    nudge: () => {
      hasNews = true;
      wake.abort();
    },
    start: (tend) => {
      running = run(tend);
    },
    stop: async () => {
      isStopped = true;
      wake.abort();
      await Promise.all([running, ...exchanges]);
    },
  };
}
