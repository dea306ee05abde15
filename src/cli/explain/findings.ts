/**
 * Why a request ended as it did, from the lines of the gateways.
 */
import { textOf, type LoggedLine } from './log-lines.js';

/** The causes that can be told from logs, with what to look at next. */
export const CAUSES = {
  answered: 'It was answered. Late answers show in tookMs, firstMs and waitedMs.',
  answeredElsewhere:
    'It was answered after one or more sendings had failed; the lines above name each.',
  refusedAtDoor:
    'Nothing was sent: the configuration in force does not allow it, or none is known.',
  noTarget: 'No backend server could take it: none was open and free of suspicion in time.',
  noRoom:
    'All replicas of its model were full, and its turn would have come after its caller had left.',
  shareUsed:
    'Room was scarce, and its workspace had been sent more than its share; others went first.',
  allCoolingDown:
    'All backend servers that could take it had refused requests and named times that it could not wait.',
  evacuated: 'Operators had evacuated all failure domains with backend servers of its service.',
  allCold:
    'All backend servers that could take it were cold, and it could not wait until one might get it.',
  outOfReach:
    'Neither its gateway nor another one had a link to the backend servers of its service.',
  refusedByServers: 'The backend servers that it was sent to refused it without running it.',
  noRepeats: 'A sending failed, and the budget of repeats was used up.',
  stalled: 'Nothing moved at the backend server that it was sent to.',
  connectionBroken: 'The connection to the backend server ended before the whole answer was there.',
  serverFailed: 'The backend server answered with a failure of its own.',
  wrongAnswer: "What came was not the backend server's own whole answer to this request.",
  timeUp: 'The time that the caller or the route gives was over before the answer was whole.',
  gatewayStopped:
    'Its gateway was told to stop: it was refused so that its caller goes on elsewhere, or the grace ' +
    'was over before its answer was whole.',
  callerLeft: 'The caller closed its connection.',
  notLogged: 'No line has its id: it did not arrive, or the lines of its kind were left out.',
  unknown: 'The lines do not tell; they may have been left out to keep the volume bounded.',
} as const satisfies Record<string, string>;

/** What can be told of a request. */
export type Cause = keyof typeof CAUSES;

/** The story of one request. */
export interface Finding {
  cause: Cause;
  /** All lines of the request, in order. */
  lines: readonly LoggedLine[];
  /** What its gateway came to believe just before and meanwhile of the servers that it went to. */
  around: readonly LoggedLine[];
}

/** How gateways write that a request waited in vain, or would have, for a place at a replica. */
const NO_ROOM = 'no room in time';
/** How gateways write that a workspace was sent more than its share. */
const SHARE_USED = /^the share of workspace .* was used$/;
/** How gateways write that all targets had named a cooldown. */
const ALL_COOLING_DOWN = 'all targets are cooling down';
/** How gateways write that all servers of the service are in evacuated failure domains. */
const EVACUATED = 'all its failure domains are evacuated';
/** How gateways write that all targets were cold and none might get the request in time. */
const ALL_COLD = 'all targets are cold';
/** How gateways write that no gateway has links to the service. */
const OUT_OF_REACH = 'no gateway reaches the service';
/** How gateways write that a stop ended a request. */
const STOPPED = 'the gateway stopped';
/**
 * Backend servers are given no more time than the grace: one that gives up so short a time before its
 * end did so because of the stop.
 */
const END_OF_GRACE_MS = 50;
/** Beliefs this long before a request may have decided it: the longest stay of a suspicion. */
const BEFORE_MS = 6_000;
const AFTER_MS = 1_000;
/** These concern all requests of a gateway, whatever servers they went to. */
const GENERAL = new Set<string>([
  ...(['gatewayPaused', 'storeLost', 'storeRegained', 'servingConfigurationTaken'] as const),
  ...([
    'gatewayStopping',
    'gatewayStarted',
    'linesSuppressed',
    'domainLost',
    'domainTaken',
    'serviceCutOff',
    'serviceReached',
    'evacuationBegan',
    'evacuationEnded',
    'evacuationsAssumed',
    'serverCold',
    'serverWarm',
  ] as const),
]);

/**
 * What the lines of all gateways tell of the request `id`.
 *
 * @example const { cause } = explainRequest('02c9eafcd6a3fe09', parseLines(text));
 */
export function explainRequest(id: string, all: readonly LoggedLine[]): Finding {
  const lines = all.filter((line) => line.request === id);
  return { cause: findCause(lines), lines, around: findAround(lines, all) };
}

function findCause(lines: readonly LoggedLine[]): Cause {
  if (lines.length === 0) return 'notLogged';
  const refusal = lines.find(({ name }) => name === 'requestRefusedAtDoor');
  if (refusal) return textOf(refusal, 'kind') === 'stopping' ? 'gatewayStopped' : 'refusedAtDoor';
  if (lines.some(({ name }) => name === 'requestAnswered')) {
    return lines.some(({ name }) => name === 'attemptEnded') ? 'answeredElsewhere' : 'answered';
  }
  const end = lines.find(({ name }) => name === 'requestEnded');
  return end ? findCauseOfEnd(end, lines) : 'unknown';
}

function findCauseOfEnd(end: LoggedLine, lines: readonly LoggedLine[]): Cause {
  const outcome = textOf(end, 'outcome');
  const reason = textOf(end, 'reason');
  if (outcome === 'callerGone') return 'callerLeft';
  if (reason === STOPPED || isAtEndOfGrace(end)) return 'gatewayStopped';
  if (outcome === 'failedThere') return 'serverFailed';
  if (reason === 'no repeats left') return 'noRepeats';
  if (reason === NO_ROOM) return 'noRoom';
  if (SHARE_USED.test(reason)) return 'shareUsed';
  if (reason === ALL_COOLING_DOWN) return 'allCoolingDown';
  if (reason === EVACUATED) return 'evacuated';
  if (reason === ALL_COLD) return 'allCold';
  if (reason === OUT_OF_REACH) return 'outOfReach';
  const attempts = lines.filter(({ name }) => name === 'attemptEnded');
  const last = textOf(attempts.at(-1), 'how');
  if (last.startsWith('refused with') || reason === 'refused everywhere') return 'refusedByServers';
  if (attempts.length === 0 && outcome === 'refused') return 'noTarget';
  return findCauseOfAttempt(last, textOf(attempts.at(-1), 'kind')) ?? 'timeUp';
}

function isAtEndOfGrace({ graceLeftMs }: LoggedLine): boolean {
  return typeof graceLeftMs === 'number' && graceLeftMs <= END_OF_GRACE_MS;
}

function findCauseOfAttempt(how: string, kind: string): Cause | undefined {
  if (/nothing moved there|stood still/.test(how)) return 'stalled';
  if (/carries the id|events are missing|that is not the backend/.test(how)) return 'wrongAnswer';
  if (kind === 'broken' || kind === 'notSent') return 'connectionBroken';
  if (how.startsWith('status')) return 'serverFailed';
  return undefined;
}

function findAround(lines: readonly LoggedLine[], all: readonly LoggedLine[]): LoggedLine[] {
  const [first] = lines;
  const last = lines.at(-1);
  if (!first || !last) return [];
  const named = new Set(
    lines.flatMap((line) => [textOf(line, 'server'), textOf(line, 'group')]).filter(Boolean),
  );
  const isNear = (line: LoggedLine): boolean =>
    line.at >= first.at - BEFORE_MS && line.at <= last.at + AFTER_MS;
  const concerns = (line: LoggedLine): boolean =>
    GENERAL.has(line.name) || named.has(textOf(line, 'server')) || named.has(textOf(line, 'group'));
  return all.filter(
    (line) =>
      line.source === first.source && line.request === undefined && isNear(line) && concerns(line),
  );
}

/** Milliseconds from the first line of the request to `line`. */
export function sinceStart(line: LoggedLine, lines: readonly LoggedLine[]): number {
  return line.at - (lines[0]?.at ?? 0);
}
