/**
 * How each kind of error is brought about at an entry, or why no caller is told it.
 */
import { nameRecord } from '../../src/controllers/calls/index.js';
import type { ErrorKind } from '../../src/core/errors/index.js';
import { waitFor } from '../support/waiting.js';
import { ask, createCompletion, type Ask, type Told } from './asking.js';
import { WORKSPACE } from './callers.js';
import { SERVICE, type Deployment } from './deployment.js';
import { causeStopping, causeNotReady } from './entry-causes.js';
import { createQuestion } from './world.js';

/** Brings an error about; returns what every caller in the course of it was told. */
type Cause = (deployment: Deployment) => Promise<Told[]>;

/** A kind that no caller is told. */
interface NotTold {
  reason: string;
}

/** A workspace that may hardly do anything. */
export const POOR_KEY = 'poor-key';
/** Models that no replica is wanted of; the second is asked for a single time. */
export const IDLE_MODEL = 'idle-assistant';
export const RARE_MODEL = 'rare-assistant';
/** How long an entry in these scenarios waits for a body. */
export const BODY_TIMEOUT_MS = 700;

const QUEUE_BURST = 160;
const SHORT_DEADLINE_MS = 60;
const BURST_DEADLINE_MS = 1_500;
const TOO_MANY_BYTES = 1_100_000;
/** More than a record keeps, less than a body may have. */
const UNKEPT_BYTES = 700_000;
/** A UUID of version 7, made in 2020. */
const OLD_KEY = '016f5e66-e800-7000-8000-000000000001';
const OPERATORS_ONLY = { reason: 'told to operators, about objects and settings' };
const BETWEEN_PROCESSES = {
  reason: 'met between processes, and turned into another kind for callers',
};

const CHECK_IN = `/services/${SERVICE}/check-ins`;
const ECHO = `/services/${SERVICE}/echo/one`;

let lastSeed = 1_000;

export const CAUSES: Record<ErrorKind, Cause | NotTold> = {
  workspaceUnknown: (site) => askOnce(site, completion({}, { authorization: 'Bearer nobody' })),
  notAllowed: (site) => askOnce(site, completion({}, { authorization: `Bearer ${POOR_KEY}` })),
  modelUnknown: (site) => askOnce(site, completion({ model: 'no-such-model' })),
  serviceUnknown: (site) => askOnce(site, { path: '/services/no-such-service/x', body: '{}' }),
  routeUnknown: (site) => askOnce(site, { path: '/v2/elsewhere', body: '{}' }),
  invalidRequest: (site) => askOnce(site, { path: '/v1/chat/completions', body: '{"model":' }),
  bodyTooLarge: (site) =>
    askOnce(site, { ...completion(), body: `{"x":"${'x'.repeat(TOO_MANY_BYTES)}"}` }),
  tooManyTokens: {
    reason: 'told by gateways; features/gateway/token-memory.feature causes it',
  },
  senderTooSlow: (site) => askOnce(site, { ...completion(), body: sendHalf() }),
  limitExceeded: (site) => askUntil(site, 'limitExceeded', () => asPoor()),
  overloaded: burst,
  noCapacity: (site) => askOnce(site, completion({ model: IDLE_MODEL })),
  stopping: causeStopping,
  notReady: causeNotReady,
  evacuated: { reason: 'told by gateways; features/gateway/evacuation.feature causes it' },
  quarantined: { reason: 'told by gateways; features/gateway/quarantine.feature causes it' },
  deadlineBeforeStart: (site) =>
    askOnce(site, completion({ model: RARE_MODEL, deadlineMs: SHORT_DEADLINE_MS })),
  outcomeUnknown: async (site) => {
    await site.service(0).control({ faults: [{ kind: 'resetAfterRun' }] });
    return askOnce(site, { path: ECHO, body: 'lost' });
  },
  deadlineAfterStart: async (site) => {
    await site.service(0).control({ faults: [{ kind: 'slow', ms: 1_000 }] });
    const headers = { 'x-request-deadline-ms': '400' };
    return askOnce(site, { path: ECHO, body: 'late', headers });
  },
  runFailed: {
    reason: 'no backend server has a way to say that a run failed; kept for one that has',
  },
  answerCut: async (site) => {
    // A resume takes up to four attempts; all of them break off.
    const faults = Array.from({ length: 4 }, () => ({ kind: 'cutAfter' as const, after: 2 }));
    await site.engine('fabric-1-engine-0').control({ faults });
    return askOnce(site, completion({}, {}, true));
  },
  callerGone: { reason: 'whoever would be told has closed the connection; it is counted only' },
  keyRequired: (site) => askOnce(site, { path: CHECK_IN, body: 'without key' }),
  keyReused: async (site) => [
    ...(await askOnce(site, withKey('reused', 'first'))),
    ...(await askOnce(site, withKey('reused', 'second'))),
  ],
  keyExpired: (site) => askOnce(site, withKey(OLD_KEY, 'old')),
  callInProgress: async (site) => {
    await site.service(0).control({ faults: [{ kind: 'slow', ms: 500 }] });
    const both = [withKey('open', 'same'), withKey('open', 'same')];
    return (await Promise.all(both.map((asked) => askOnce(site, asked)))).flat();
  },
  answerNotKept: async (site) => {
    const asked = withKey('large', 'x'.repeat(UNKEPT_BYTES));
    return [...(await askOnce(site, asked)), ...(await askOnce(site, asked))];
  },
  recordUnavailable: async (site) => {
    await site.platform.control({ outage: 'refuse' });
    const told = await askUntil(site, 'recordUnavailable', (turn) => withKey(`out-${turn}`, 'x'));
    await site.platform.control({ outage: 'none' });
    return told;
  },
  messageInvalid: async (site) => {
    const key = 'unreadable';
    const call = { workspace: WORKSPACE, service: SERVICE, key, fingerprint: '', deadlineAt: 0 };
    await site.platform.put('call-record', nameRecord(call), { of: 'another version' });
    return askOnce(site, withKey(key, 'x'));
  },
  objectInvalid: OPERATORS_ONLY,
  objectUnknown: OPERATORS_ONLY,
  versionConflict: OPERATORS_ONLY,
  settingsInvalid: OPERATORS_ONLY,
  platformUnavailable: BETWEEN_PROCESSES,
  platformOutcomeUnknown: BETWEEN_PROCESSES,
  orderRefused: BETWEEN_PROCESSES,
  unreachable: BETWEEN_PROCESSES,
};

async function askOnce(site: Deployment, asked: Ask): Promise<Told[]> {
  return [await ask(site.entry(0).callers, asked)];
}

/** Asks one after the other until one is told `kind`. */
async function askUntil(
  site: Deployment,
  kind: ErrorKind,
  create: (turn: number) => Ask,
): Promise<Told[]> {
  const all: Told[] = [];
  await waitFor(`a caller to be told ${kind}`, async () => {
    const told = await ask(site.entry(0).callers, create(all.length));
    all.push(told);
    return told.errorKind === kind;
  });
  return all;
}

/** More requests at once than an engine that hardly moves and the queue before it take. */
async function burst(site: Deployment): Promise<Told[]> {
  const engine = site.engine('fabric-1-engine-0');
  await engine.control({ slowFactor: 1_000 });
  const asks = Array.from({ length: QUEUE_BURST }, () =>
    askOnce(site, completion({ deadlineMs: BURST_DEADLINE_MS })),
  );
  const told = (await Promise.all(asks)).flat();
  await engine.control({ slowFactor: 1 });
  return told;
}

function completion(
  change: { model?: string; deadlineMs?: number } = {},
  headers: Readonly<Record<string, string>> = {},
  stream = false,
): Ask {
  lastSeed += 1;
  const asked = createCompletion({ ...createQuestion(lastSeed), ...change }, stream);
  return { ...asked, headers: { ...asked.headers, ...headers } };
}

function asPoor(): Ask {
  const headers = { authorization: `Bearer ${POOR_KEY}`, 'x-request-class': 'batch' };
  return completion({}, headers);
}

function withKey(key: string, body: string): Ask {
  return { path: CHECK_IN, body, headers: { 'idempotency-key': key } };
}

/** Half a body, then silence for longer than an entry waits. */
async function* sendHalf(): AsyncGenerator<Uint8Array> {
  yield Buffer.from('{"model":"pass-assistant",');
  await new Promise((resolve) => setTimeout(resolve, 4 * BODY_TIMEOUT_MS).unref());
}
