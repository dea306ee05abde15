/**
 * Judges replicas from outside: by the engines' journals, the platform's journal of plans, and the
 * callers' replies. Instants are of the wall clock, as in the journals.
 */
import type { EngineJournal } from '../../src/stand-ins/engine/index.js';
import type { DomainPlan, Replica } from '../../src/objects/index.js';
import { askStreamed, type Reply } from './callers.js';
import type { Deployment, EntryProcess } from './deployment.js';
import { answerOf, createQuestion } from './world.js';

export type JournaledAttempt = EngineJournal['attempts'][number];

/** A plan and when its writing took effect. */
export interface PlanChange {
  at: number;
  domain: string;
  plan: DomainPlan;
}

/** What was seen of all engines and plans. */
export interface Evidence {
  /** By instance; those of processes that were killed are from just before. */
  journals: ReadonlyMap<string, readonly EngineJournal[]>;
  plans: readonly PlanChange[];
  /** When processes were killed, by incarnation. */
  ends: ReadonlyMap<string, number>;
}

/** An attempt that began while a member of its replica was not in it. */
export interface BrokenServing {
  replica: string;
  member: string;
  /** From the member's leaving to the attempt's start. */
  afterMs: number;
  attempt: JournaledAttempt;
}

/** Keeps what is lost with a process. */
export interface Observer {
  /** Kills an engine; its journal is kept. */
  kill(instance: string): Promise<number>;
  read(): Promise<Evidence>;
}

/** An observer of one deployment. */
export function createObserver(deployment: Deployment): Observer {
  const kept = new Map<string, EngineJournal[]>();
  const ends = new Map<string, number>();
  return {
    kill: async (instance) => {
      const engine = deployment.engine(instance);
      const journal = await engine.journal();
      kept.set(instance, [...(kept.get(instance) ?? []), journal]);
      const at = Date.now();
      await engine.process.kill();
      ends.set(journal.incarnation, at);
      return at;
    },
    read: async () => {
      const journals = new Map<string, readonly EngineJournal[]>();
      for (const engine of deployment.engines.values()) {
        const now = await engine.journal().catch(() => undefined);
        const all = [...(kept.get(engine.name) ?? []), ...(now === undefined ? [] : [now])];
        journals.set(engine.name, all);
      }
      const entries = await deployment.platform.journal('domain-plan');
      const plans = entries.map(({ at, object }) => {
        return { at, domain: object.name, plan: object.value as DomainPlan };
      });
      return { journals, plans, ends };
    },
  };
}

/** Names of instances that one plan has in two replicas, or that two domains' plans have at once. */
export function findDoubleMembers({ plans }: Evidence): string[] {
  const current = new Map<string, DomainPlan>();
  const doubles: string[] = [];
  for (const { domain, plan } of plans) {
    current.set(domain, plan);
    const seen = new Set<string>();
    for (const replica of [...current.values()].flatMap(({ replicas }) => replicas)) {
      for (const { instance } of replica.members) {
        if (seen.has(instance)) doubles.push(instance);
        seen.add(instance);
      }
    }
  }
  return doubles;
}

/**
 * Attempts that an engine took while the journal of another member of its replica says that this one
 * had left it, was not ready, or was dead. A frozen member's journal says nothing; see
 * {@link listAttempts}.
 */
export function findBrokenServing(evidence: Evidence): BrokenServing[] {
  const replicas = indexReplicas(evidence.plans);
  return listAttempts(evidence).flatMap((attempt) => {
    const replica = replicas.get(`${attempt.replica}/${attempt.fence}`);
    if (replica === undefined) throw new Error(`no plan ever had ${attempt.replica}`);
    return replica.members.flatMap(({ instance, incarnation }) => {
      const leftAt = findAbsence(evidence, instance, incarnation, attempt);
      if (leftAt === undefined) return [];
      const afterMs = Math.round(attempt.startedAt - leftAt);
      return [{ replica: replica.id, member: instance, afterMs, attempt }];
    });
  });
}

/** All attempts at all engines, in no order. */
export function listAttempts({ journals }: Evidence): JournaledAttempt[] {
  return [...journals.values()].flatMap((all) => all.flatMap(({ attempts }) => attempts));
}

/** The replica of each id and fencing number that any plan had whole. */
function indexReplicas(plans: readonly PlanChange[]): ReadonlyMap<string, Replica> {
  const all = plans.flatMap(({ plan }) => plan.replicas);
  return new Map(
    all.filter(({ phase }) => phase === 'whole').map((one) => [`${one.id}/${one.fence}`, one]),
  );
}

/** Since when the member has been out of the attempt's replica at its start; undefined when in it. */
function findAbsence(
  { journals, ends }: Evidence,
  instance: string,
  incarnation: string,
  { replica, fence, startedAt }: JournaledAttempt,
): number | undefined {
  const endedAt = ends.get(incarnation);
  if (endedAt !== undefined && endedAt <= startedAt) return endedAt;
  const journal = journals.get(instance)?.find((one) => one.incarnation === incarnation);
  if (journal === undefined) return Number.NEGATIVE_INFINITY;
  const before = journal.states.filter(({ at }) => at <= startedAt);
  const isIn = (state: EngineJournal['states'][number]): boolean =>
    state.replica === replica && state.fence === fence && state.state === 'ready';
  const lastIn = before.findLastIndex(isIn);
  if (lastIn === before.length - 1 && lastIn >= 0) return undefined;
  return before[lastIn + 1]?.at ?? Number.NEGATIVE_INFINITY;
}

/**
 * Whether the entry had given `attempt` up before a frozen engine woke at `wokeAt` and began it. Its
 * bytes were in the machine already, and it ends as soon as the engine sees that nobody listens, or
 * that its replica is no more, whichever comes first. Callers here stay to the end: it is the entry
 * that has closed the connection, or has gone on with the request in a later attempt.
 */
export function isGivenUp(
  evidence: Evidence,
  { attempt, startedAt, end }: JournaledAttempt,
  wokeAt: number | undefined,
): boolean {
  if (wokeAt === undefined || startedAt < wokeAt) return false;
  if (end === 'disconnected') return true;
  const given = parseAttempt(attempt);
  return listAttempts(evidence).some((other) => {
    const { request, number } = parseAttempt(other.attempt);
    return request === given.request && number > given.number && other.startedAt < startedAt;
  });
}

/** All attempts of the request of `attempt`, with their instants counted from `origin`. */
export function describeAttempts(
  evidence: Evidence,
  { attempt }: JournaledAttempt,
  origin = 0,
): string {
  const { request } = parseAttempt(attempt);
  const told = listAttempts(evidence)
    .filter((other) => parseAttempt(other.attempt).request === request)
    .sort((one, other) => one.startedAt - other.startedAt)
    .map(({ attempt: id, replica, startedAt, endedAt, end, tokens, resumeFrom }) => {
      const span = `${startedAt - origin} to ${endedAt === undefined ? '?' : endedAt - origin} ms`;
      return `${id} at ${replica}: ${span}, ${end ?? 'running'}, ${tokens} from ${resumeFrom}`;
    });
  return told.join('; ');
}

/** Entries number the attempts of a request behind its id. */
function parseAttempt(attempt: string): { request: string; number: number } {
  const dot = attempt.lastIndexOf('.');
  return { request: attempt.slice(0, dot), number: Number(attempt.slice(dot + 1)) };
}

/** What became of one streamed request. */
export interface StreamOutcome {
  entry: string;
  askedAt: number;
  endedAt: number;
  /** The longest time without a token or an end, from the asking on. */
  stillMs: number;
  kind: 'whole' | 'error';
  errorKind?: string;
  /** What broke the promise of a whole answer or one explicit error. */
  fault?: string;
}

/** Callers that ask until they are stopped. */
export interface Streams {
  outcomes: readonly StreamOutcome[];
  stop(): Promise<readonly StreamOutcome[]>;
}

const ERROR_PAUSE_MS = 20;

/** `callers` at each entry, one question after the other each. */
export function startStreams(
  entries: readonly EntryProcess[],
  callers: number,
  maxTokens: number,
): Streams {
  const outcomes: StreamOutcome[] = [];
  let isStopped = false;
  let seed = 0;
  const run = async (entry: EntryProcess): Promise<void> => {
    while (!isStopped) {
      seed += 1;
      const question = createQuestion(seed, maxTokens);
      const askedAt = Date.now();
      const startedAt = performance.now();
      const reply = await askStreamed(entry.callers, question);
      const judged = judgeReply(reply, answerOf(question));
      const stillMs = findLongestStill([startedAt, ...reply.arrivals, performance.now()]);
      outcomes.push({ entry: entry.name, askedAt, endedAt: Date.now(), stillMs, ...judged });
      if (judged.kind === 'error') await new Promise((next) => setTimeout(next, ERROR_PAUSE_MS));
    }
  };
  const runs = entries.flatMap((entry) => Array.from({ length: callers }, () => run(entry)));
  return {
    outcomes,
    stop: async () => {
      isStopped = true;
      await Promise.all(runs);
      return outcomes;
    },
  };
}

function findLongestStill(instants: readonly number[]): number {
  const spans = instants.slice(1).map((instant, at) => instant - (instants[at] ?? instant));
  return Math.round(Math.max(...spans));
}

function judgeReply(
  reply: Reply,
  expected: string,
): Pick<StreamOutcome, 'kind' | 'errorKind' | 'fault'> {
  const { whole, text, errorKind, broken, status } = reply;
  if (whole && text === expected && errorKind === undefined) return { kind: 'whole' };
  const isExplicit = !whole && !broken && errorKind !== undefined && expected.startsWith(text);
  if (isExplicit) return { kind: 'error', errorKind };
  const fault = JSON.stringify({ status, whole, broken, errorKind, text, expected });
  return { kind: 'error', ...(errorKind !== undefined && { errorKind }), fault };
}
