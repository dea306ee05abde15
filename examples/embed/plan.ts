/**
 * Uses the decisions as a library: no sockets, no timers, time by hand.
 *
 *     npx tsx examples/embed/plan.ts
 *
 * Nine engines of one fabric domain carry two replicas of four. Then one engine is lost, and the
 * policy's two objectives weigh whether to wait for it; last, a broken answer is taken up again.
 */
import {
  createManualClock,
  createRandom,
  createRetryState,
  decideRetry,
  DEFAULT_ESTIMATES,
  domainPlanSchema,
  instanceSchema,
  modelSchema,
  planDomain,
  type DomainInput,
  type DomainMember,
  type DomainPlan,
  type EngineReport,
  type Milliseconds,
  type PlanDecision,
} from 'yuccasail';

const ENGINES = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7', 'e8', 'e9'];
const MODEL = 'pass-assistant';

const clock = createManualClock(1_000);

/** What an engine reports that does as the plan says. */
function describeReport(name: string, plan: DomainPlan): EngineReport {
  const common = {
    instance: name,
    incarnation: `${name}-start-1`,
    fence: plan.fence,
    leaving: false,
    inFlight: 0,
    adapters: [],
    cacheSequence: 0,
  };
  const replica = plan.replicas.find((one) => one.members.some((m) => m.instance === name));
  if (replica === undefined) return { ...common, state: 'idle' };
  const { id, fence, model, weights, members } = replica;
  const rank = members.findIndex((member) => member.instance === name);
  const formed = { id, fence, model, weights, rank, size: members.length };
  return { ...common, state: 'ready', replica: formed };
}

function describeMember(name: string, plan: DomainPlan, heardAt: Milliseconds): DomainMember {
  const instance = instanceSchema.parse({
    role: 'engine',
    address: '10.0.0.1:9000',
    failureDomain: 'bandung',
    fabricDomain: 'fabric-a',
  });
  const health = { heardAt, report: describeReport(name, plan) };
  return { name, instance, leaving: false, health };
}

/** The domain as it is seen now; `lost` was last heard `silentMs` ago. */
function describeDomain(plan: DomainPlan, lost?: string, silentMs: Milliseconds = 0): DomainInput {
  const heardAt = (name: string): Milliseconds => clock.now() - (name === lost ? silentMs : 0);
  return {
    domain: 'fabric-a',
    plan,
    members: new Map(ENGINES.map((name) => [name, describeMember(name, plan, heardAt(name))])),
    models: new Map([[MODEL, modelSchema.parse({ replicaSize: 4, replicas: 2 })]]),
    wanted: new Map([[MODEL, 2]]),
    drained: new Set(),
    objective: { groupDowntime: 4, strandedAccelerators: 1 },
    estimates: DEFAULT_ESTIMATES,
    history: new Map(),
    watchingSince: 0,
  };
}

function print(title: string, { plan, reasons }: PlanDecision): void {
  console.log(title);
  for (const reason of reasons) console.log(`  ${JSON.stringify(reason)}`);
  for (const { id, phase, members } of plan.replicas) {
    console.log(`  ${id} ${phase}: ${members.map(({ instance }) => instance).join(' ')}`);
  }
}

const empty = domainPlanSchema.parse({ fence: 0, replicas: [], spares: [] });
const first = planDomain(describeDomain(empty), clock.now());
print('First plan', first);

const serving: DomainPlan = {
  ...first.plan,
  replicas: first.plan.replicas.map((replica) => ({ ...replica, phase: 'whole' })),
};
clock.advance(60_000);
for (const silentMs of [4_000, 40_000]) {
  const next = planDomain(describeDomain(serving, 'e1', silentMs), clock.now());
  print(`e1 silent for ${silentMs} ms`, next);
}

const decision = decideRetry(
  createRetryState(),
  {
    end: { kind: 'cut', reason: 'connection reset', received: 12 },
    target: 'replica-1',
    workspace: 'gate-volunteers',
    repeatable: true,
    resumable: true,
    attempts: 1,
    deadlineAt: clock.now() + 10_000,
    received: 12,
  },
  clock.now(),
  createRandom(1),
);
console.log(`Answer cut after 12 tokens: ${JSON.stringify(decision)}`);
