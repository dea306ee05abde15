/**
 * The promises, judged from what callers got and what backend servers ran.
 */
import { hasPart, type Arrival } from '../../features/gateway/stand-ins/engine.js';
import { CRASHING_PART, DEADLINE_MS, type AskedRecord } from './callers.js';
import type { InjectedFault } from './inject.js';
import type { FaultKind } from './schedule.js';
import { EVENTS } from './site.js';

/** A promise that was broken, with the evidence. */
export interface Breach {
  promise:
    | 'once'
    | 'refusal'
    | 'own answer'
    | 'order'
    | 'asked'
    | 'planned stop'
    | 'late answer'
    | 'crashing part'
    | 'departure'
    | 'late change'
    | 'ceiling';
  detail: string;
}

/** What one run left behind. */
export interface Evidence {
  records: readonly AskedRecord[];
  arrivals: readonly Arrival[];
  faults: readonly InjectedFault[];
  /** When the configuration with a key was written, by key. */
  keyTimes: ReadonlyMap<string, number>;
  /** When loads of weights have begun at engines since there were callers. */
  loadTimes: readonly number[];
}

/** These say that the request has not run and never will. */
const REFUSALS = new Set([408, 421, 429, 503]);
/** Only these are planned: with nothing else under way, no request that was taken on may be lost. */
const PLANNED = new Set<FaultKind>([
  'stopGateway',
  'changeKey',
  'drainEngine',
  'storeForgets',
  'favourGateway',
]);
/** Consequences of a fault reach a little beyond it. */
const AFTERMATH_MS = 4_000;
/** A final answer later than this after the request's deadline is late. */
const LATE_MS = 700;

/** Every promise that the evidence shows as broken. */
export function judge(evidence: Evidence): Breach[] {
  const runs = countRuns(evidence.arrivals);
  return [
    ...evidence.records.flatMap((record) => judgeRecord(record, runs.get(record.id) ?? 0)),
    ...judgeArrivals(evidence),
    ...evidence.records
      .filter(({ kind, leftAt }) => kind !== 'crash' && leftAt === undefined)
      .flatMap((record) => judgeEnd(record, evidence.faults)),
    ...judgeCrashingPart(evidence),
    ...judgeDepartures(evidence),
    ...judgeChanges(evidence),
    ...judgeLoads(evidence),
  ];
}

function countRuns(arrivals: readonly Arrival[]): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  for (const { id, ran } of arrivals) if (ran) runs.set(id, (runs.get(id) ?? 0) + 1);
  return runs;
}

function judgeRecord(record: AskedRecord, runs: number): Breach[] {
  const { id, kind, status, whole, body } = record;
  const breaches: Breach[] = [];
  if (kind === 'check' && runs > 1) {
    breaches.push({ promise: 'once', detail: `${id} ran ${runs} times` });
  }
  if (kind === 'check' && status !== undefined && REFUSALS.has(status) && runs > 0) {
    breaches.push({ promise: 'refusal', detail: `${id} got ${status} and ran` });
  }
  if (status === 200 && whole) {
    const isOwn = isOwnBody(record);
    if (!isOwn) breaches.push({ promise: 'own answer', detail: `${id} got ${body.slice(0, 80)}` });
    if (!record.seal) breaches.push({ promise: 'own answer', detail: `${id} has no seal` });
  }
  if (status === 200 && kind === 'chat' && !isPrefixOfStream(body)) {
    breaches.push({ promise: 'order', detail: `${id} got ${body.slice(-160)}` });
  }
  return breaches;
}

function isOwnBody({ id, kind, body }: AskedRecord): boolean {
  switch (kind) {
    case 'chat':
      return isWholeStream(body);
    case 'crash':
      // Nothing tells the end of an answer without length or chunks from the end of its engine.
      return isPrefixOfStream(body);
    case 'list':
    case 'check':
      return body === `answer to ${id}`;
  }
}

const EVENT = /id: (\d+)\ndata: token (\d+)\n\n/g;

function readEvents(body: string): number[] {
  return [...body.matchAll(EVENT)].map(([, id]) => Number(id));
}

function isPrefixOfStream(body: string): boolean {
  return readEvents(body).every((id, index) => id === index + 1);
}

function isWholeStream(body: string): boolean {
  const isClean = body.replace(EVENT, '') === '';
  return isClean && isPrefixOfStream(body) && readEvents(body).length === EVENTS;
}

function judgeArrivals({ arrivals, records }: Evidence): Breach[] {
  const asked = new Set(records.map(({ id }) => id));
  return arrivals
    .filter(({ id }) => !asked.has(id))
    .map(({ id, server }) => ({
      promise: 'asked',
      detail: `${server} got ${id} that nobody sent`,
    }));
}

/** With nothing but planned work near it, each request ends with an answer, and in time. */
function judgeEnd(record: AskedRecord, faults: readonly InjectedFault[]): Breach[] {
  const { id, gateway, sentAt, endedAt, status, whole, refused } = record;
  const near = faults.filter(({ from, to }) => from <= endedAt && to + AFTERMATH_MS >= sentAt);
  if (near.some(({ kind }) => !PLANNED.has(kind))) return [];
  const tookMs = Math.round(endedAt - sentAt);
  if (tookMs > DEADLINE_MS + LATE_MS) {
    return [{ promise: 'late answer', detail: `${id} at ${gateway} took ${tookMs} ms` }];
  }
  if (refused || (status !== undefined && whole)) return [];
  // The end of a stopping gateway's listener crosses a connection that is being made.
  if (status === undefined && near.some(({ kind }) => kind === 'stopGateway')) return [];
  return [{ promise: 'planned stop', detail: `${id} at ${gateway} was cut, status ${status}` }];
}

/** Requests with the part that gateways in touch may send once they must know it, over the whole fleet. */
const MOST_LATE_SENDINGS = 3;
const CRASHES_UNTIL_KNOWN = 5;
const KNOWN_AFTER_MS = 3_000;

/** Gateways that ran without a disturbance of their own for as long must not send the part any more. */
function judgeCrashingPart({ arrivals, records, faults }: Evidence): Breach[] {
  const crashing = arrivals.filter((arrival) => hasPart(arrival, CRASHING_PART));
  const crashes = crashing.flatMap(({ endedAt }) => endedAt ?? []).sort((a, b) => a - b);
  const fifth = crashes[CRASHES_UNTIL_KNOWN - 1];
  if (fifth === undefined) return [];
  const gateways = new Map(records.map(({ id, gateway }) => [id, gateway]));
  const isInTouch = (id: string, at: number): boolean =>
    !faults.some(
      ({ kind, target, from, to }) =>
        (target === gateways.get(id) || kind === 'cutLinks') &&
        kind !== 'favourGateway' &&
        from <= at &&
        to + KNOWN_AFTER_MS >= at,
    );
  const late = crashing.filter(({ id, at }) => at > fifth + KNOWN_AFTER_MS && isInTouch(id, at));
  if (late.length <= MOST_LATE_SENDINGS) return [];
  const detail = `${late.length} sendings later than that, ${crashes.length} crashes in all`;
  return [{ promise: 'crashing part', detail }];
}

/** An engine may work on for so long for a caller that has left. */
const DEPARTURE_MS = 500;
/** Disturbances of the way between a gateway and an engine, and of gateways. */
const HOLDS_UP = new Set<FaultKind>([
  'pauseGateway',
  'cutEngine',
  'delayEngine',
  'stallEngine',
  'cutLinks',
]);

function judgeDepartures({ arrivals, records, faults }: Evidence): Breach[] {
  const departures = new Map(records.flatMap(({ id, leftAt }) => (leftAt ? [[id, leftAt]] : [])));
  return arrivals.flatMap(({ id, server, ran, at, stoppedAt = Infinity }): Breach[] => {
    const leftAt = departures.get(id);
    if (leftAt === undefined || !ran || stoppedAt <= leftAt + DEPARTURE_MS) return [];
    const isHeldUp = faults.some(
      ({ kind, from, to }) =>
        HOLDS_UP.has(kind) && from <= leftAt + DEPARTURE_MS && to >= Math.min(at, leftAt),
    );
    if (isHeldUp) return [];
    const workedMs = Math.round(stoppedAt - leftAt);
    return [{ promise: 'departure', detail: `${server} worked on ${id} for ${workedMs} ms more` }];
  });
}

/** Time within which a change is in force. */
const APPLY_MS = 2_000;
/** A gateway that was held up, or started, has as long again. */
const EXCUSED_MS = 4_000;
const EXCUSES_CHANGES = new Set<FaultKind>([
  'killGateway',
  'stopGateway',
  'pauseGateway',
  'storeDown',
  'storeSilent',
  'restoreStore',
]);

/** A valid key is not refused for good, by gateways without a store neither. */
function judgeChanges({ records, faults, keyTimes }: Evidence): Breach[] {
  return records.flatMap(({ id, gateway, key, status, sentAt }): Breach[] => {
    const changedAt = keyTimes.get(key);
    const newest = Math.max(...[...keyTimes.values()].filter((at) => at <= sentAt));
    const isDue = changedAt !== undefined && changedAt === newest && sentAt > newest + APPLY_MS;
    if (status !== 401 || !isDue) return [];
    const isExcused = faults.some(
      ({ kind, from, to }) =>
        EXCUSES_CHANGES.has(kind) && from <= sentAt && to + EXCUSED_MS >= sentAt,
    );
    if (isExcused) return [];
    const detail = `${gateway} refused ${id} ${Math.round(sentAt - newest)} ms after the change`;
    return [{ promise: 'late change', detail }];
  });
}

/** Loads that all engines together may begin in {@link LOAD_WINDOW_MS}: 5 a second, a tenth more, and 3. */
const MOST_LOADS = 5 * 5 * 1.1 + 3;
const LOAD_WINDOW_MS = 5_000;

function judgeLoads({ loadTimes }: Evidence): Breach[] {
  let first = 0;
  let most = 0;
  for (const [index, at] of loadTimes.entries()) {
    while ((loadTimes[first] ?? at) <= at - LOAD_WINDOW_MS) first += 1;
    most = Math.max(most, index - first + 1);
  }
  if (most <= MOST_LOADS) return [];
  return [{ promise: 'ceiling', detail: `${most} loads have begun within ${LOAD_WINDOW_MS} ms` }];
}
