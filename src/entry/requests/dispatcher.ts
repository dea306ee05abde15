/**
 * Runs the dispatch algorithm and delivers its results to the waiting requests.
 */
import type { Peers, SentCount } from '../../board/index.js';
import type { EligibleReplicas } from '../../controllers/health/index.js';
import {
  createDispatchState,
  dispatch,
  offerRequest,
  reportEnd,
  reportFirstToken,
  withdrawRequest,
  type Candidate,
  type DispatchAction,
  type DispatchState,
  type DispatchView,
  type SentOutcome,
  type WaitingRequest,
} from '../../controllers/routing/index.js';
import type { Failure } from '../../core/errors/index.js';
import type { EntryContext, Part } from '../types.js';

/** Result of waiting for dispatch: a replica to send to, or a refusal. */
export type DispatchOutcome =
  | { kind: 'send'; candidate: Candidate; isCrowding: boolean }
  | { kind: 'refused'; failure: Failure };

export interface Dispatcher extends Part {
  /** Also used to select service instances. */
  state: DispatchState;
  /** Queues a request. Calls `onResult` once, possibly synchronously, unless it is withdrawn. */
  offer(request: WaitingRequest, onResult: (result: DispatchOutcome) => void): void;
  withdraw(ticket: string): void;
  reportFirstToken(ticket: string): void;
  /** Reports the end of a request that was sent, successful or not. */
  reportEnd(ticket: string, outcome: SentOutcome): void;
}

/** Creates the dispatcher of an entry. It runs on events, and on a timer for time-based changes. */
export function createDispatcher(context: EntryContext, eligible: EligibleReplicas): Dispatcher {
  const { board, clock, random, settings, identity } = context;
  const state = createDispatchState();
  const callbacks = new Map<string, (result: DispatchOutcome) => void>();
  const getPeerSentCounts = createPeerSentCounts();
  const unsubscribers: (() => void)[] = [];
  let timer: NodeJS.Timeout | undefined;
  let scheduledRun: NodeJS.Immediate | undefined;

  const view: DispatchView = {
    entryLocation: { region: identity.region, failureDomain: identity.failureDomain },
    candidatesOf: (model) => eligible.list(model, clock.now()),
    get peersSent() {
      return getPeerSentCounts(board.peers.read());
    },
    peersPeriodMs: settings.membership.digestEveryMs,
    get entryCount() {
      return board.peers.read().size + 1;
    },
  };

  function run(): void {
    clearTimeout(timer);
    timer = undefined;
    if (state.waiting.size === 0) return;
    const now = clock.now();
    const { actions, wakeAt } = dispatch(state, view, now, random);
    if (wakeAt !== undefined) timer = setTimeout(run, Math.max(1, wakeAt - now));
    for (const action of actions) deliver(action);
  }

  function deliver(action: DispatchAction): void {
    const callback = callbacks.get(action.ticket);
    callbacks.delete(action.ticket);
    if (action.kind === 'refuse') callback?.({ kind: 'refused', failure: action.failure });
    else callback?.(action);
  }

  /** Coalesces all events of one event loop turn into a single run. */
  function scheduleRun(): void {
    if (state.waiting.size > 0) scheduledRun ??= setImmediate(runScheduled);
  }

  function runScheduled(): void {
    scheduledRun = undefined;
    run();
  }

  return {
    state,
    offer: (request, onResult) => {
      const { workspaces } = board.configuration.read();
      const weight = workspaces.get(request.workspace)?.value.weight ?? 1;
      const offered = offerRequest(state, request, settings.callers.queueLength, weight);
      if (offered.isErr()) {
        onResult({ kind: 'refused', failure: offered.error });
        return;
      }
      callbacks.set(request.ticket, onResult);
      run();
    },
    withdraw: (ticket) => {
      callbacks.delete(ticket);
      withdrawRequest(state, ticket);
    },
    reportFirstToken: (ticket) => {
      reportFirstToken(state, ticket, clock.now());
    },
    reportEnd: (ticket, outcome) => {
      reportEnd(state, ticket, outcome, clock.now());
      scheduleRun();
    },
    start: () => {
      const sections = [board.plans, board.fleet, board.health, board.load];
      unsubscribers.push(...sections.map((section) => section.subscribe(scheduleRun)));
    },
    stop: () => {
      for (const unsubscribe of unsubscribers.splice(0)) unsubscribe();
      clearTimeout(timer);
      clearImmediate(scheduledRun);
      return Promise.resolve();
    },
  };
}

/** Caches the list until the peers change, since the dispatcher builds one index per array. */
function createPeerSentCounts(): (peers: Peers) => readonly SentCount[] {
  let source: Peers | undefined;
  let list: readonly SentCount[] = [];
  return (peers) => {
    if (peers !== source) {
      source = peers;
      list = [...peers.values()].flatMap(({ sent }) => sent);
    }
    return list;
  };
}
