/**
 * The invariants, judged by what an observer outside the system saw.
 */
import { expectedAnswer } from '../../src/stand-ins/engine/index.js';
import { domainPlanSchema, type Replica } from '../../src/objects/index.js';
import type { Question } from '../../features/promises/callers.js';
import type { DeadSpan, Evidence, MadeCall } from './evidence.js';

/** One breach of an invariant. */
export interface Violation {
  invariant: string;
  detail: string;
}

/** What the judgement counted, to show that there was something to judge. */
export interface Tally {
  streams: number;
  wholeStreams: number;
  calls: number;
  answeredCalls: number;
  notRun: number;
  attempts: number;
  planWrites: number;
  sights: number;
  races: number;
}

/**
 * After the death of a member: reports in flight, the span in which a report counts as fresh, and
 * the way of a request to the engine.
 */
const DEAD_BOUND_MS = 2_000;
/** An engine that was frozen reads what arrived meanwhile before it looks at its members. */
const WAKING_MS = 1_000;

/** Every breach found. */
export function judgeEvidence(evidence: Evidence): Violation[] {
  return [
    ...judgeStreams(evidence),
    ...judgeRuns(evidence),
    ...judgeNotRun(evidence),
    ...judgePlans(evidence),
    ...judgeDeadMembers(evidence),
    ...judgeRevisions(evidence),
    ...judgeRaces(evidence),
    ...judgeRecovery(evidence),
  ];
}

/** How much there was to judge. */
export function tallyEvidence(evidence: Evidence): Tally {
  const { streams, calls, engineJournals, plans, revisions, races } = evidence;
  const replies = [...streams, ...calls].map(({ reply }) => reply);
  return {
    streams: streams.length,
    wholeStreams: streams.filter(({ reply }) => reply.whole).length,
    calls: calls.length,
    answeredCalls: calls.filter(({ reply }) => reply.status === 200 && !reply.broken).length,
    notRun: replies.filter(({ conclusion }) => conclusion === 'notRun').length,
    attempts: [...engineJournals.values()].reduce((sum, { attempts }) => sum + attempts.length, 0),
    planWrites: plans.length,
    sights: revisions.length,
    races: races.length,
  };
}

/** A reply marked whole is the caller's own answer, byte for byte; any other is a part of it. */
function judgeStreams({ streams }: Evidence): Violation[] {
  return streams.flatMap(({ entry, question, reply }) => {
    const expected = answerOf(question);
    const isRight = reply.whole ? reply.text === expected : expected.startsWith(reply.text);
    const isMarked = reply.whole && (reply.errorKind !== undefined || reply.broken);
    if (isRight && !isMarked) return [];
    const detail = `${entry}: ${JSON.stringify(reply)}, expected "${expected}"`;
    return [{ invariant: 'answers are whole and the caller’s own', detail }];
  });
}

/** The answer that the caller of `question` should receive. */
export function answerOf({ text, seed, maxTokens }: Question): string {
  return expectedAnswer({ messages: [{ role: 'user', content: text }], seed, maxTokens }).text;
}

/** Nothing runs twice, and whoever has an answer has that of the one run. */
function judgeRuns({ calls, serviceJournals }: Evidence): Violation[] {
  const runs = countRuns(serviceJournals);
  const violations = [...runs]
    .filter(([, count]) => count > 1)
    .map(([marker, count]) => ({ invariant: 'runs at most once', detail: `${marker}: ${count}` }));
  const answered = calls.filter(({ reply }) => reply.status === 200 && !reply.broken);
  const wrong = answered.filter(({ marker, reply }) => !ownsAnswer(marker, reply.body));
  const unrun = answered.filter(({ marker }) => !runs.has(marker));
  return [
    ...violations,
    ...wrong.map((call) => describeCall('answers are the caller’s own', call)),
    ...unrun.map((call) => describeCall('an answer has its run', call)),
    ...listOtherAnswers(answered),
  ];
}

function countRuns(journals: Evidence['serviceJournals']): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { runs } of journals.values()) {
    for (const { body } of runs) {
      const { marker } = JSON.parse(body) as { marker: string };
      counts.set(marker, (counts.get(marker) ?? 0) + 1);
    }
  }
  return counts;
}

function ownsAnswer(marker: string, text: string): boolean {
  const answer = JSON.parse(text) as { body: string };
  return answer.body === JSON.stringify({ marker });
}

/** All answers under one key are the same. */
function listOtherAnswers(answered: readonly MadeCall[]): Violation[] {
  const first = new Map<string, string>();
  return answered.flatMap((call) => {
    const known = first.get(call.marker) ?? call.reply.body;
    first.set(call.marker, known);
    if (known === call.reply.body) return [];
    return [describeCall('one answer for each key', call)];
  });
}

function describeCall(invariant: string, { marker, entry, reply }: MadeCall): Violation {
  return { invariant, detail: `${marker} at ${entry}: ${JSON.stringify(reply)}` };
}

/** What a caller was told was not run has no run in any journal. */
function judgeNotRun(evidence: Evidence): Violation[] {
  const { streams, calls, engineJournals, serviceJournals } = evidence;
  const ran = new Set<string>();
  for (const { attempts } of engineJournals.values()) {
    for (const { attempt } of attempts) ran.add(attempt.split('.')[0] ?? '');
  }
  for (const { runs } of serviceJournals.values()) {
    for (const { requestId } of runs) ran.add(requestId ?? '');
  }
  return [...streams, ...calls].flatMap(({ entry, reply }) => {
    const isDenied = reply.conclusion === 'notRun' || reply.conclusion === 'refused';
    if (!isDenied || reply.requestId === undefined || !ran.has(reply.requestId)) return [];
    const detail = `${entry}: ${JSON.stringify(reply)}`;
    return [{ invariant: 'not run means not run', detail }];
  });
}

/** No stored plan has an instance in two replicas, and a fencing number names one set of members. */
function judgePlans({ plans }: Evidence): Violation[] {
  const membersOf = new Map<string, string>();
  return plans.flatMap(({ object }) => {
    const { replicas } = domainPlanSchema.parse(object.value);
    const taken = replicas
      .filter(({ phase }) => phase !== 'released')
      .flatMap(({ members }) => members.map(({ instance }) => instance));
    const twice = taken.filter((instance, index) => taken.indexOf(instance) !== index);
    const violations = twice.map((instance) => ({
      invariant: 'no instance in two replicas',
      detail: `${object.name} version ${object.version}: ${instance}`,
    }));
    return [...violations, ...replicas.flatMap((replica) => judgeFence(replica, membersOf))];
  });
}

/**
 * Members leave a draining replica one by one, each when its engine has confirmed it; none comes to
 * it any more. In the phases before, a number stands for one set.
 */
function judgeFence(replica: Replica, membersOf: Map<string, string>): Violation[] {
  const { id, fence, phase } = replica;
  const key = nameFence(id, fence);
  const members = JSON.stringify(replica.members);
  const known = membersOf.get(key) ?? members;
  membersOf.set(key, known);
  const isLeaving = phase === 'draining' || phase === 'released';
  const isPart = replica.members.every((member) => known.includes(JSON.stringify(member)));
  if (isLeaving ? isPart : known === members) return [];
  return [{ invariant: 'one set of members for a number', detail: `${key}: ${known}, ${members}` }];
}

function nameFence(replica: string, fence: number): string {
  return `${replica} fence ${fence}`;
}

/** No engine begins an attempt for a replica of which a member has been dead beyond the bound. */
function judgeDeadMembers({ plans, dead, engineJournals }: Evidence): Violation[] {
  const members = new Map<string, Replica['members']>();
  for (const { object } of plans) {
    for (const replica of domainPlanSchema.parse(object.value).replicas) {
      const key = nameFence(replica.id, replica.fence);
      // The first plan with a number has all members; a draining replica loses them later.
      if (!members.has(key)) members.set(key, replica.members);
    }
  }
  const violations: Violation[] = [];
  for (const { instance, incarnation, attempts } of engineJournals.values()) {
    const own = dead.filter((span) => span.incarnation === incarnation);
    for (const { attempt, replica, fence, startedAt } of attempts) {
      if (own.some(({ until }) => startedAt >= until && startedAt < until + WAKING_MS)) continue;
      const key = nameFence(replica, fence);
      const missing = findDead(members.get(key) ?? [], dead, startedAt);
      if (missing === undefined) continue;
      const detail = `${instance} ran ${attempt} for ${key} ${startedAt - missing.from} ms after the death of ${missing.instance}`;
      violations.push({ invariant: 'no replica serves without a member', detail });
    }
  }
  return violations;
}

function findDead(
  members: Replica['members'],
  dead: readonly DeadSpan[],
  at: number,
): DeadSpan | undefined {
  return dead.find(
    ({ incarnation, from, until }) =>
      members.some((member) => member.incarnation === incarnation) &&
      at > from + DEAD_BOUND_MS &&
      at < until,
  );
}

/** An entry never goes back to an older configuration. */
function judgeRevisions({ revisions }: Evidence): Violation[] {
  const highest = new Map<string, number>();
  return revisions.flatMap(({ entry, revision }) => {
    const before = highest.get(entry) ?? 0;
    highest.set(entry, Math.max(before, revision));
    if (revision >= before) return [];
    const detail = `${entry}: ${before}, then ${revision}`;
    return [{ invariant: 'configuration never goes back', detail }];
  });
}

/** Of two changes to one version at most one wins. */
function judgeRaces({ races }: Evidence): Violation[] {
  return races
    .filter(({ statuses }) => statuses.filter((status) => status === 200).length > 1)
    .map(({ expected, statuses }) => ({
      invariant: 'one operator wins',
      detail: `version ${expected}: ${statuses.join(', ')}`,
    }));
}

function judgeRecovery({ recoveryMs, missing }: Evidence): Violation[] {
  if (recoveryMs !== undefined) return [];
  return [{ invariant: 'serves again after the faults', detail: missing ?? 'unknown' }];
}
