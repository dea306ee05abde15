/**
 * Feeds the dispatch decision and hands its actions to the requests that wait for them.
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

/** What became of a request that waited. */
export type Grant =
  | { kind: 'send'; candidate: Candidate; isCrowding: boolean }
  | { kind: 'refused'; failure: Failure };

export interface Dispatcher extends Part {
  /** Shared with the choice of service instances. */
  state: DispatchState;
  /** Calls `onGrant` once, perhaps before it returns, unless the request is withdrawn. */
  offer(request: WaitingRequest, onGrant: (grant: Grant) => void): void;
  withdraw(ticket: string): void;
  reportFirstToken(ticket: string): void;
  /** A request that was sent has ended, whichever way. */
  reportEnd(ticket: string, outcome: SentOutcome): void;
}

/** A dispatcher for one entry. Its decisions run on events; a timer covers the rest. */
export function createDispatcher(context: EntryContext, eligible: EligibleReplicas): Dispatcher {
  const { board, clock, random, settings, identity } = context;
  const state = createDispatchState();
  const grants = new Map<string, (grant: Grant) => void>();
  const listPeersSent = createPeersSent();
  const closers: (() => void)[] = [];
  let timer: NodeJS.Timeout | undefined;
  let deferred: NodeJS.Immediate | undefined;

  const view: DispatchView = {
    here: { region: identity.region, failureDomain: identity.failureDomain },
    candidatesOf: (model) => eligible.list(model, clock.now()),
    get peersSent() {
      return listPeersSent(board.peers.read());
    },
    peersPeriodMs: settings.membership.digestEveryMs,
    get entries() {
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
    for (const action of actions) settle(action);
  }

  function settle(action: DispatchAction): void {
    const grant = grants.get(action.ticket);
    grants.delete(action.ticket);
    if (action.kind === 'refuse') grant?.({ kind: 'refused', failure: action.failure });
    else grant?.(action);
  }

  /** Many events of one turn of the event loop cause one decision. */
  function runSoon(): void {
    if (state.waiting.size > 0) deferred ??= setImmediate(runDeferred);
  }

  function runDeferred(): void {
    deferred = undefined;
    run();
  }

  return {
    state,
    offer: (request, onGrant) => {
      const { workspaces } = board.configuration.read();
      const weight = workspaces.get(request.workspace)?.value.weight ?? 1;
      const offered = offerRequest(state, request, settings.callers.queueLength, weight);
      if (offered.isErr()) {
        onGrant({ kind: 'refused', failure: offered.error });
        return;
      }
      grants.set(request.ticket, onGrant);
      run();
    },
    withdraw: (ticket) => {
      grants.delete(ticket);
      withdrawRequest(state, ticket);
    },
    reportFirstToken: (ticket) => {
      reportFirstToken(state, ticket, clock.now());
    },
    reportEnd: (ticket, outcome) => {
      reportEnd(state, ticket, outcome, clock.now());
      runSoon();
    },
    start: () => {
      const sections = [board.plans, board.fleet, board.health, board.load];
      closers.push(...sections.map((section) => section.subscribe(runSoon)));
    },
    stop: () => {
      for (const close of closers.splice(0)) close();
      clearTimeout(timer);
      clearImmediate(deferred);
      return Promise.resolve();
    },
  };
}

/** The dispatcher indexes the list once for each array, so it stays the same until peers change. */
function createPeersSent(): (peers: Peers) => readonly SentCount[] {
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
