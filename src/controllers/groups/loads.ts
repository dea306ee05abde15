/**
 * Grants for orders that make an engine load weights from the weight store.
 *
 * A grant is stored in the plan of the domain before its order is sent, so that of several owners only one
 * orders a load, and the next owner knows what is under way. Each domain has a fixed part of the loads that may
 * begin within the window of the limit. It needs no news of other domains, so that the limit of the
 * service holds whatever the gateways believe of each other.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { BackendServer, EngineProfile } from '../../ports/index.js';
import { ORDER_LATENESS_MS } from './late-orders.js';
import {
  incarnationKey,
  toMember,
  type DueOrder,
  type GroupPlan,
  type LoadGrant,
} from './types.js';
import { hasWeights } from './view.js';

/** Window of the limit on the loads that begin. */
export const LOAD_WINDOW_MS: Milliseconds = 5_000;
/** Loads beyond those that run at full speed at once take longer. */
const SLOW_LOAD_FACTOR = 2;

/** What the owner of a domain knows of its loads. */
export interface LoadKnowledge {
  servers: ReadonlyMap<string, BackendServer>;
  /** Revision of the fleet that `servers` show. */
  fleetRevision: number;
  profile: EngineProfile;
  /** When this gateway first saw the grant, by its id. */
  knownSince: ReadonlyMap<string, Milliseconds>;
  /** How engines have answered orders of this gateway, by the id of their grant. */
  answers: ReadonlyMap<string, 'accepted' | 'refused'>;
}

/** Limits on the loads of one domain. */
export interface LoadLimits {
  /** Loads at the same time, by what the other domains need. */
  loadSlots: number;
  /** Loads that may begin within {@link LOAD_WINDOW_MS}, see {@link countLoadStarts}. */
  maxLoadStarts: number;
}

/**
 * The loads that may begin in each of `domains` domains within the window. With more domains than loads,
 * each may still have one.
 */
export function maxStartsPerDomain({ loadsPerSecond }: EngineProfile, domains: number): number {
  const total = Math.floor((loadsPerSecond * LOAD_WINDOW_MS) / 1_000);
  return Math.max(1, Math.floor(total / Math.max(1, domains)));
}

/** The grants of `plan` whose loads are under way, may still begin, or began within the window. */
export function listHeldGrants(
  plan: GroupPlan,
  knowledge: LoadKnowledge,
  now: Milliseconds,
): LoadGrant[] {
  return (plan.loads ?? []).filter((grant) => isHeld(grant, knowledge, now));
}

function isHeld(grant: LoadGrant, knowledge: LoadKnowledge, now: Milliseconds): boolean {
  const { servers, profile, answers } = knowledge;
  const answer = answers.get(grant.id);
  if (answer === 'refused') return false;
  const knownForMs = knownFor(grant, knowledge, now);
  const server = servers.get(grant.server);
  const loadMs = profile.models.find(({ name }) => name === grant.model)?.loadMs ?? 0;
  const isOtherRun = server !== undefined && incarnationKey(server) !== runOf(grant);
  if (server === undefined || isOtherRun) {
    const latenessMs = answer === 'accepted' ? 0 : ORDER_LATENESS_MS;
    return knownForMs < latenessMs + LOAD_WINDOW_MS;
  }
  if (isDone(grant, knowledge)) return loadMs < LOAD_WINDOW_MS && knownForMs < LOAD_WINDOW_MS;
  return knownForMs < ORDER_LATENESS_MS + SLOW_LOAD_FACTOR * loadMs + LOAD_WINDOW_MS;
}

function knownFor({ id }: LoadGrant, { knownSince }: LoadKnowledge, now: Milliseconds): number {
  return now - (knownSince.get(id) ?? now);
}

function runOf({ server, startedAt }: LoadGrant): string {
  return incarnationKey({ id: server, ...(startedAt !== undefined && { startedAt }) });
}

/** The grants in `held` whose loads are not known to be done. */
export function listUnderWay(held: readonly LoadGrant[], knowledge: LoadKnowledge): LoadGrant[] {
  return held.filter((grant) => !isDone(grant, knowledge));
}

/** Whether the server shows that the order is carried out, with or without a load. */
function isDone(grant: LoadGrant, { servers, fleetRevision }: LoadKnowledge): boolean {
  const server = servers.get(grant.server);
  if (server === undefined || incarnationKey(server) !== runOf(grant)) return false;
  if (fleetRevision < grant.fleetRevision) return false;
  return grant.order === 'stage'
    ? server.engine?.staged.includes(grant.model) === true
    : hasWeights(server, { name: grant.model });
}

/** How many more loads may be granted beside `held`. */
export function countLoadRoom(
  held: readonly LoadGrant[],
  { loadSlots, maxLoadStarts }: LoadLimits,
  knowledge: LoadKnowledge,
  now: Milliseconds,
): number {
  const starts = held.filter((grant) => mayStart(grant, knowledge, now));
  const freeSlots = loadSlots - listUnderWay(held, knowledge).length;
  return Math.max(0, Math.min(freeSlots, maxLoadStarts - starts.length));
}

/** Whether a load began within the window or may still begin; an order without an answer may be late. */
function mayStart(grant: LoadGrant, knowledge: LoadKnowledge, now: Milliseconds): boolean {
  const isRecent = knownFor(grant, knowledge, now) < LOAD_WINDOW_MS;
  return isRecent || knowledge.answers.get(grant.id) !== 'accepted';
}

/** Grants for the orders in `due` that cause loads, `room` at most, for engines without one under way. */
export function grantLoads(
  due: readonly DueOrder[],
  underWay: readonly LoadGrant[],
  room: number,
  createId: () => string,
  fleetRevision: number,
): LoadGrant[] {
  const busy = new Set(underWay.map(({ server }) => server));
  const granted: LoadGrant[] = [];
  for (const { order, to, reason, causesLoad } of due) {
    if (granted.length >= room) break;
    if (!causesLoad || busy.has(to.id)) continue;
    if (order.kind !== 'stage' && order.kind !== 'join') continue;
    busy.add(to.id);
    const { id: server, startedAt } = to;
    granted.push({
      id: createId(),
      server,
      ...(startedAt !== undefined && { startedAt }),
      model: order.model,
      order: order.kind,
      reason,
      fleetRevision,
    });
  }
  return granted;
}

/** The grant that allows an order to join, if any. */
export function findJoinGrant(
  loads: readonly LoadGrant[],
  { order, to }: DueOrder,
): LoadGrant | undefined {
  if (order.kind !== 'join') return undefined;
  return loads.find(
    ({ server, order: kind, model }) =>
      server === to.id && kind === 'join' && model === order.model,
  );
}

/** The order to stage that `grant` allows; undefined for other orders, and if the engine has ended. */
export function toStageOrder(
  grant: LoadGrant,
  servers: ReadonlyMap<string, BackendServer>,
): DueOrder | undefined {
  const server = servers.get(grant.server);
  if (grant.order !== 'stage' || server === undefined) return undefined;
  if (incarnationKey(server) !== runOf(grant)) return undefined;
  const { model, reason } = grant;
  return { to: toMember(server), order: { kind: 'stage', model }, reason, causesLoad: true };
}
