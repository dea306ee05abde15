/**
 * The ways of routing that are compared: three usual ones, which send at once, and the dispatcher.
 */
import {
  createDispatchState,
  dispatch,
  offerRequest,
  reportEnd,
  reportFirstToken,
  type Candidate,
  type DispatchView,
  type Location,
} from '../../src/controllers/routing/index.js';
import type { SentCount } from '../../src/board/index.js';
import type { Random } from '../../src/core/random/index.js';
import type { Timeline } from './timeline.js';
import type { Arrival } from './workload.js';

export type BalancerName = 'roundRobin' | 'leastOutstanding' | 'twoChoices' | 'dispatcher';

/** How one entry routes. */
export interface Balancer {
  offer(arrival: Arrival): void;
  firstToken(ticket: string): void;
  end(ticket: string): void;
  /** New reports: the candidates are another array now. */
  refresh(candidates: readonly Candidate[], peersSent: readonly SentCount[]): void;
}

/** What an entry gives its balancer. */
export interface Rim {
  timeline: Timeline;
  random: Random;
  here: Location;
  entries: number;
  send: (ticket: string, replica: string, isCrowding: boolean) => void;
  refuse: (ticket: string) => void;
}

const QUEUE_LENGTH = 1_000;
const DEADLINE_MS = 60_000;
const PEERS_PERIOD_MS = 500;

export function createBalancer(name: BalancerName, rim: Rim): Balancer {
  switch (name) {
    case 'roundRobin': {
      let next = rim.random.below(1_000);
      return createSimple(rim, (candidates) => candidates[next++ % candidates.length]);
    }
    case 'leastOutstanding':
      return createSimple(rim, (candidates, outstanding) => {
        const start = rim.random.below(candidates.length);
        const turned = [...candidates.slice(start), ...candidates.slice(0, start)];
        return least(turned, (one) => outstanding.get(one.replica) ?? 0);
      });
    case 'twoChoices':
      return createSimple(rim, (candidates, _outstanding, sentSince) => {
        const one = candidates[rim.random.below(candidates.length)];
        const other = candidates[rim.random.below(candidates.length)];
        return least([one, other], (candidate) => reportedLoad(candidate, sentSince));
      });
    case 'dispatcher':
      return createDispatcher(rim);
  }
}

type Choose = (
  candidates: readonly Candidate[],
  outstanding: ReadonlyMap<string, number>,
  sentSince: ReadonlyMap<string, number>,
) => Candidate | undefined;

function createSimple(rim: Rim, choose: Choose): Balancer {
  let candidates: readonly Candidate[] = [];
  const outstanding = new Map<string, number>();
  const sentSince = new Map<string, number>();
  const sentTo = new Map<string, string>();
  return {
    offer: ({ ticket }) => {
      const replica = choose(candidates, outstanding, sentSince)?.replica;
      if (replica === undefined) return;
      add(outstanding, replica, 1);
      add(sentSince, replica, 1);
      sentTo.set(ticket, replica);
      rim.send(ticket, replica, false);
    },
    firstToken: () => undefined,
    end: (ticket) => {
      add(outstanding, sentTo.get(ticket) ?? '', -1);
      sentTo.delete(ticket);
    },
    refresh: (list) => {
      candidates = list;
      sentSince.clear();
    },
  };
}

function createDispatcher(rim: Rim): Balancer {
  const state = createDispatchState();
  let candidates: readonly Candidate[] = [];
  let peersSent: readonly SentCount[] = [];
  const view: DispatchView = {
    entryLocation: rim.here,
    candidatesOf: () => candidates,
    get peersSent() {
      return peersSent;
    },
    peersPeriodMs: PEERS_PERIOD_MS,
    entryCount: rim.entries,
  };
  let wakeAt = Number.POSITIVE_INFINITY;
  const run = (): void => {
    if (state.waiting.size === 0) return;
    const decided = dispatch(state, view, rim.timeline.now, rim.random);
    for (const action of decided.actions) {
      if (action.kind === 'send') {
        rim.send(action.ticket, action.candidate.replica, action.isCrowding);
      } else rim.refuse(action.ticket);
    }
    if (decided.wakeAt === undefined || wakeAt <= decided.wakeAt) return;
    wakeAt = decided.wakeAt;
    rim.timeline.at(wakeAt, () => {
      wakeAt = Number.POSITIVE_INFINITY;
      run();
    });
  };
  return {
    offer: (arrival) => {
      const now = rim.timeline.now;
      const request = {
        ...arrival,
        model: 'chat',
        arrivedAt: now,
        deadlineAt: now + DEADLINE_MS,
        excluded: [],
      };
      if (offerRequest(state, request, QUEUE_LENGTH, 1).isErr()) rim.refuse(arrival.ticket);
      run();
    },
    firstToken: (ticket) => {
      reportFirstToken(state, ticket, rim.timeline.now);
      run();
    },
    end: (ticket) => {
      reportEnd(state, ticket, { kind: 'completed' }, rim.timeline.now);
      run();
    },
    refresh: (list, sent) => {
      candidates = list;
      peersSent = sent;
      run();
    },
  };
}

function reportedLoad(candidate: Candidate, sentSince: ReadonlyMap<string, number>): number {
  const load = candidate.load?.load;
  return (load ? load.running + load.waiting : 0) + (sentSince.get(candidate.replica) ?? 0);
}

function least(
  candidates: readonly (Candidate | undefined)[],
  cost: (candidate: Candidate) => number,
): Candidate | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates) {
    if (candidate && (!best || cost(candidate) < cost(best))) best = candidate;
  }
  return best;
}

function add(counts: Map<string, number>, key: string, by: number): void {
  counts.set(key, (counts.get(key) ?? 0) + by);
}
