/**
 * Compares whether a backend server answers this gateway and whether it answers others.
 */
import type { GatewayPeer } from '../../controllers/peering/index.js';
import type { ProbeOutcome } from '../backends/probe.js';
import type { GatewayContext } from '../types.js';
import type { CheckedServer, ServerChecks } from './server-check.js';
import { takeRandom } from './take-random.js';
import type { ServerCheck } from './types.js';

/** Where a server answers. */
export type ServerComparison =
  | { kind: 'here' | 'peersOnly'; outcome: ProbeOutcome }
  /** Other servers of the service answer here, so this one has failed. */
  | { kind: 'nowhere'; outcome: ProbeOutcome }
  /** No other server answers here either, and other gateways may have lost their links as well. */
  | { kind: 'unclear' };

interface ServerComparisonOptions {
  context: GatewayContext;
  checks: ServerChecks;
  askPeer: (address: string, server: string) => Promise<ServerCheck>;
}

/** Gateways that are asked at the same time, since some of them may have lost their links as well. */
const ASKED_PEERS = 3;
/** Servers of a service that are checked to find out whether any answers. */
const CHECKED_OTHERS = 2;

export function createServerComparison({
  context,
  checks,
  askPeer,
}: ServerComparisonOptions): (server: CheckedServer) => Promise<ServerComparison> {
  const { board, logger, random } = context;

  const askPeerSafely = async (
    { name, address }: GatewayPeer,
    server: string,
  ): Promise<ServerCheck> => {
    try {
      return await askPeer(address, server);
    } catch (error) {
      logger.log('peerCallFailed', { peer: name, reason: String(error) });
      return { kind: 'unknown' };
    }
  };
  /** Resolves with the first answer of the server to another gateway; `unknown` if there is none. */
  const askPeers = async (server: string): Promise<ServerCheck> => {
    const peers = takeRandom(random, [...board.peers.read().values()], ASKED_PEERS);
    const answers = peers.map(async (peer) => {
      const outcome = await askPeerSafely(peer, server);
      if (outcome.kind !== 'answers') throw new Error(outcome.kind);
      return outcome;
    });
    return Promise.any(answers).catch((): ServerCheck => ({ kind: 'unknown' }));
  };
  /** Whether any other server of the service answers here; also true if there is none. */
  const answersElsewhere = async (id: string): Promise<boolean> => {
    const { servers } = board.fleet.read();
    const service = servers.get(id)?.service;
    const others = [...servers.values()].filter(
      (other) => other.service === service && other.id !== id,
    );
    if (others.length === 0) return true;
    const checked = takeRandom(random, others, CHECKED_OTHERS);
    const outcomes = await Promise.all(checked.map((other) => checks.check(other)));
    return outcomes.some(({ kind }) => kind === 'answers');
  };
  return async (server) => {
    const first = checks.check(server);
    const others = await askPeers(server.id);
    // The server may have recovered between the first check and the answer to another gateway.
    const second = others.kind === 'answers' ? checks.check(server) : first;
    const own = await Promise.all([first, second]);
    const known = own.find(({ kind }) => kind === 'answers' || kind === 'coolingDown');
    if (known) return { kind: 'here', outcome: known };
    if (others.kind === 'answers') return { kind: 'peersOnly', outcome: others };
    const isAtFault = await answersElsewhere(server.id);
    return isAtFault ? { kind: 'nowhere', outcome: own[1] } : { kind: 'unclear' };
  };
}
