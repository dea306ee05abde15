/**
 * Assigns each request in the logs of gateways to one outcome, and each that was late or not served to one
 * cause.
 */
import { parseRequestLine, type RequestLine } from './request-lines.js';

/** Why a request was late or not served, with what to look at next. */
export const LOSS_CAUSES = {
  refusedAtDoor: 'Refused before anything was sent; the kind is a row of the list of errors.',
  gatewayStopping: 'Its gateway was told to stop.',
  noReplica: 'No backend server was open and free of suspicion in time.',
  waitedForReplica: 'It waited at the gateway until a backend server could take it.',
  shareUsed: 'Room was scarce, and its workspace had been sent more than its share.',
  noRoom: 'It waited at the gateway, and its turn would have come too late.',
  allCoolingDown: 'All backend servers that could take it had named a cooldown.',
  evacuated: 'Operators had evacuated all failure domains with servers of its service.',
  allCold: 'All backend servers that could take it were cold, with no permit left in time.',
  outOfReach: 'No gateway had links to the backend servers of its service.',
  refusedByServer: 'A backend server that it was sent to refused it.',
  noRetryLeft: 'A sending failed, and the retry budget was used up.',
  stalled: 'Nothing moved at the backend server that it was sent to first.',
  connectionBroken: 'The connection to the backend server ended.',
  serverFailed: 'The backend server answered with a failure of its own.',
  slowServer:
    'Sent once, to a backend server that was already known to be slow; see serverSlow in the log.',
  slowFirstEvent:
    'Sent once, and its answer began late: a queue at the backend server, or a slow one.',
  pauseInStream: 'Its answer began in time, with a pause between two events that was too long.',
  slowAnswer: 'Sent once, and its answer was complete late.',
  timeUp: 'The time that the caller or the route gives was over.',
} as const satisfies Record<string, string>;

export type LossCause = keyof typeof LOSS_CAUSES;

/** Counts of the requests of one route, or of one second. */
export interface OutcomeCounts {
  onTime: number;
  late: number;
  unserved: number;
  /** The caller left; nobody was waiting any more. */
  callerGone: number;
}

export interface RouteLosses extends OutcomeCounts {
  route: string;
  causes: Partial<Record<LossCause, number>>;
}

export interface SecondCounts extends OutcomeCounts {
  /** Seconds of the clock of the gateway that logged the end. */
  second: number;
}

/** What the logs tell of all requests. */
export interface LossSummary {
  routes: readonly RouteLosses[];
  seconds: readonly SecondCounts[];
  /** Lines that are no log lines, and log lines that name no known event. */
  unreadLines: number;
  /** The beginnings of the first of them. */
  unreadSamples: readonly string[];
  /** Lines that the gateways left out, by event. */
  suppressedLines: Readonly<Record<string, number>>;
}

/** The lines of one request so far. */
interface RequestHistory {
  sends: number;
  firstFailure: RequestLine | undefined;
  hasWaited: boolean;
  /** The backend server that it was sent to was known to be slow. */
  wasSentToSlow: boolean;
}

interface Outcome {
  kind: keyof OutcomeCounts;
  cause?: LossCause;
}

const MS_PER_SECOND = 1_000;
const MAX_SAMPLES = 3;
/** From this multiple of the usual times on, the server explains a late answer. */
const SLOW_SLOWNESS = 1.6;
const SAMPLE_LENGTH = 80;

/** Summarizes the texts of log files. */
export function summarizeLosses(texts: readonly string[]): LossSummary {
  const histories = new Map<string, RequestHistory>();
  const routes = new Map<string, RouteLosses>();
  const seconds = new Map<number, SecondCounts>();
  const suppressed = new Map<string, number>();
  let unreadLines = 0;
  const unreadSamples: string[] = [];
  const historyOf = (request: string): RequestHistory => {
    const known = histories.get(request);
    if (known) return known;
    const created = { sends: 0, firstFailure: undefined, hasWaited: false, wasSentToSlow: false };
    histories.set(request, created);
    return created;
  };
  const count = (route: string, at: number, { kind, cause }: Outcome): void => {
    const losses = getOrCreate(routes, route, (): RouteLosses => ({
      route,
      ...noCounts(),
      causes: {},
    }));
    const second = Math.floor(at / MS_PER_SECOND);
    losses[kind] += 1;
    getOrCreate(seconds, second, (): SecondCounts => ({ second, ...noCounts() }))[kind] += 1;
    if (cause !== undefined) losses.causes[cause] = (losses.causes[cause] ?? 0) + 1;
  };
  const apply = (line: RequestLine): void => {
    switch (line.name) {
      case 'requestSent':
        historyOf(line.request).sends += 1;
        if ((line.slowness ?? 1) >= SLOW_SLOWNESS) historyOf(line.request).wasSentToSlow = true;
        break;
      case 'requestWaits':
        historyOf(line.request).hasWaited = true;
        break;
      case 'attemptEnded':
        historyOf(line.request).firstFailure ??= line;
        break;
      case 'requestRefusedAtDoor':
        count('(none)', line.at, classifyRefusal(line));
        break;
      case 'requestAnswered':
      case 'requestEnded':
        count(line.route ?? '(none)', line.at, classifyEnd(line, historyOf(line.request)));
        histories.delete(line.request);
        break;
      case 'linesSuppressed':
        suppressed.set(line.of ?? '', (suppressed.get(line.of ?? '') ?? 0) + (line.lines ?? 0));
        break;
    }
  };
  for (const text of texts) {
    for (const lineText of text.split('\n')) {
      if (lineText === '') continue;
      const parsed = parseRequestLine(lineText);
      if (parsed.kind === 'unreadable') {
        unreadLines += 1;
        if (unreadSamples.length < MAX_SAMPLES)
          unreadSamples.push(lineText.slice(0, SAMPLE_LENGTH));
      }
      if (parsed.kind === 'request') apply(parsed.line);
    }
  }
  return {
    routes: [...routes.values()].sort((a, b) => (a.route < b.route ? -1 : 1)),
    seconds: [...seconds.values()].sort((a, b) => a.second - b.second),
    unreadLines,
    unreadSamples,
    suppressedLines: Object.fromEntries(suppressed),
  };
}

function noCounts(): OutcomeCounts {
  return { onTime: 0, late: 0, unserved: 0, callerGone: 0 };
}

function getOrCreate<Key, Value>(map: Map<Key, Value>, key: Key, create: () => Value): Value {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = create();
  map.set(key, created);
  return created;
}

function classifyRefusal({ kind }: RequestLine): Outcome {
  return { kind: 'unserved', cause: kind === 'stopping' ? 'gatewayStopping' : 'refusedAtDoor' };
}

function classifyEnd(end: RequestLine, history: RequestHistory): Outcome {
  if (end.outcome === 'callerGone') return { kind: 'callerGone' };
  if (end.name === 'requestEnded')
    return { kind: 'unserved', cause: findUnservedCause(end, history) };
  const cause = findLateCause(end, history);
  return cause === undefined ? { kind: 'onTime' } : { kind: 'late', cause };
}

function findUnservedCause(end: RequestLine, { firstFailure, sends }: RequestHistory): LossCause {
  const { reason = '', outcome } = end;
  if (reason === 'the gateway stopped') return 'gatewayStopping';
  if (reason === 'no room in time') return 'noRoom';
  if (/^the share of workspace .* was used$/.test(reason)) return 'shareUsed';
  if (reason === 'all targets are cooling down') return 'allCoolingDown';
  if (reason === 'all its failure domains are evacuated') return 'evacuated';
  if (reason === 'all targets are cold') return 'allCold';
  if (reason === 'no gateway reaches the service') return 'outOfReach';
  if (reason === 'no target in time' && sends === 0) return 'noReplica';
  if (reason === 'no repeats left') return 'noRetryLeft';
  if (outcome === 'failedThere') return 'serverFailed';
  return (firstFailure && causeOfAttempt(firstFailure)) ?? 'timeUp';
}

/** Undefined when the answer was on time. */
function findLateCause(end: RequestLine, history: RequestHistory): LossCause | undefined {
  const { targetMs = Infinity, gapMs = 0, gapTargetMs = Infinity } = end;
  const isStream = end.firstMs !== undefined;
  const isLate = (end.firstMs ?? end.tookMs ?? 0) > targetMs;
  if (!isLate && gapMs <= gapTargetMs) return undefined;
  const { firstFailure } = history;
  if (firstFailure) return causeOfAttempt(firstFailure) ?? 'serverFailed';
  if (isLate && history.hasWaited) return 'waitedForReplica';
  if (history.wasSentToSlow) return 'slowServer';
  if (!isStream) return 'slowAnswer';
  return isLate ? 'slowFirstEvent' : 'pauseInStream';
}

function causeOfAttempt({ how = '', kind }: RequestLine): LossCause | undefined {
  if (how.startsWith('refused with')) return 'refusedByServer';
  if (/nothing moved there|stood still/.test(how)) return 'stalled';
  if (kind === 'broken' || kind === 'notSent') return 'connectionBroken';
  return how.startsWith('status') ? 'serverFailed' : undefined;
}
