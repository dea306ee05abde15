/**
 * Random fabric domains and views for tests of plans.
 */
import {
  EMPTY_PLAN,
  listOrders,
  revisePlan,
  type DomainView,
  type DueOrder,
  type GroupPlan,
} from '../../src/controllers/groups/index.js';
import type {
  BackendServer,
  EngineProfile,
  GroupModel,
  MembershipState,
} from '../../src/ports/index.js';

export const LARGE: GroupModel = {
  name: 'large',
  size: 4,
  pace: 1,
  share: 0.5,
  loadMs: 16,
  warmMs: 2,
};
export const SMALL: GroupModel = {
  name: 'small',
  size: 2,
  pace: 0.6,
  share: 0.5,
  loadMs: 12,
  warmMs: 1,
};
export const PROFILE: EngineProfile = {
  models: [LARGE, SMALL],
  slots: 12,
  stride: 5,
  stepMs: 8,
  stepPerRequestMs: 0.1,
  promptTokensPerMs: 46,
  promptChunk: 2_048,
  loadsAtOnce: 7,
  loadsPerSecond: 5,
  formMs: 300,
};
const STATES: readonly MembershipState[] = ['joining', 'ready', 'open', 'closing', 'broken'];

/** One planning round, with its input and results. */
export interface PlannedRound {
  before: GroupPlan;
  after: GroupPlan;
  view: DomainView;
  orders: DueOrder[];
}
export function createServer(
  id: string,
  engine: Partial<BackendServer['engine']> = {},
): BackendServer {
  return {
    id,
    service: 'models',
    address: `10.0.0.1:${id.length}`,
    failureDomain: 'north',
    slots: 12,
    leaving: false,
    engine: { fabricDomain: 'fabric', staged: ['small', 'large'], ...engine },
  };
}

export function createView(
  servers: readonly BackendServer[],
  other: Partial<DomainView> = {},
): DomainView {
  return {
    profile: PROFILE,
    fleetRevision: 0,
    isNewerThanPlan: true,
    self: 'gateway',
    overdueGroups: new Set(),
    answeredOrders: new Set(),
    settledGroups: new Set(),
    targets: [
      { model: LARGE, groups: 1 },
      { model: SMALL, groups: 2 },
    ],
    servers: new Map(servers.map((server) => [server.id, server])),
    lost: new Set(),
    slow: new Set(),
    staging: new Set(),
    loadSlots: 2,
    beforeTraffic: false,
    failedGroups: new Set(),
    ...other,
  };
}

/** A random report of an instance in a round, with numbers from `draw`. */
function createRandomServer(id: string, plan: GroupPlan, draw: () => number): BackendServer {
  const group = plan.groups.find(({ members }) => members.some((member) => member.id === id));
  const staged = [['small'], ['large'], [], ['small', 'large']][draw() % 4] ?? [];
  const leaving = draw() % 12 === 0;
  const kind = draw() % 5;
  const state = STATES[draw() % STATES.length] ?? 'ready';
  const common = { staged, lastModel: draw() % 2 === 0 ? 'small' : 'large' };
  if (kind === 0) return { ...createServer(id, common), leaving };
  const reported = group ?? { name: 'unknown', epoch: 1, members: [] };
  const rank = group ? group.members.findIndex((member) => member.id === id) : 0;
  if (kind === 1 && !group) {
    const membership = { group: reported.name, epoch: reported.epoch, rank, state };
    return { ...createServer(id, { ...common, membership }), leaving };
  }
  if (!group) return { ...createServer(id, common), leaving };
  const membership = { group: group.name, epoch: group.epoch, rank, state };
  return { ...createServer(id, { ...common, membership }), leaving };
}

const ROUNDS = 6;
const INSTANCES = 11;

export function planRandomDomain(draws: readonly number[]): PlannedRound[] {
  let next = 0;
  const draw = (): number => {
    next += 1;
    return draws[next % draws.length] ?? 0;
  };
  const rounds: PlannedRound[] = [];
  let plan = EMPTY_PLAN;
  for (let round = 0; round < ROUNDS; round += 1) {
    const ids = Array.from({ length: INSTANCES }, (_, index) => `i-${index}`);
    const servers = ids
      .filter(() => draw() % 9 !== 0)
      .map((id) => createRandomServer(id, plan, draw));
    const view = createView(servers, {
      lost: new Set(ids.filter(() => draw() % 10 === 0)),
      slow: new Set(ids.filter(() => draw() % 8 === 0)),
    });
    const after = revisePlan(plan, view);
    rounds.push({ before: plan, after, view, orders: listOrders(after, view) });
    plan = after;
  }
  return rounds;
}
