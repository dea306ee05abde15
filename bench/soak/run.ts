/**
 * One run: a site, callers, faults by a seed, recovery, and the judgement.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { waitFor } from '../../features/support/waiting.js';
import { Callers, CRASHING_PART, type AskedKind, type AskedRecord } from './callers.js';
import { inject, type InjectedFault } from './inject.js';
import { judge, type Breach } from './judge.js';
import {
  drawEndlessAnswers,
  drawFavours,
  drawLinkCuts,
  drawRestores,
  drawSchedule,
  drawStreamCrash,
  type ScheduledFault,
} from './schedule.js';
import { SoakSite, type SoakGateway } from './site.js';

export interface SoakOptions {
  seed: number;
  seconds: number;
  gateways: number;
  /** Whether the store is restored from older copies, beside the other faults. */
  withRestores?: boolean;
  /** Whether gateways lose their links to all backend servers, beside the other faults. */
  withLinkCuts?: boolean;
  /**
   * Whether engines crash under one part of prompts, and most new connections go to one gateway at
   * times, beside the other faults.
   */
  withCrashingPart?: boolean;
  /** Whether callers leave early and servers send bytes without end, beside the other faults. */
  withDepartures?: boolean;
}

/** What one run showed. */
export interface SoakReport {
  seed: number;
  breaches: readonly (Breach | { promise: 'recovery' | 'replicas' | 'own exit'; detail: string })[];
  faults: readonly InjectedFault[];
  tally: { requests: number; faults: number; ends: Readonly<Record<string, number>> };
  /** The last lines of each gateway. */
  logs: Readonly<Record<string, readonly object[]>>;
}

const CALLERS = 14;
const MS_PER_SECOND = 1_000;
/** After the last fault everything serves again within this time. */
const RECOVERY_MS = 12_000;
const KINDS: readonly AskedKind[] = ['list', 'check', 'chat'];
const KEPT_LINES = 12_000;
/** Between two questions of one gateway after the faults. */
const PAUSE_MS = 100;
/** An engine that crashed under a prompt is back after this time. */
const BACK_AFTER_MS = 1_500;

export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, gateways, withLinkCuts = false, withCrashingPart = false } = options;
  const site = new SoakSite(withLinkCuts ? gateways : 0);
  if (withCrashingPart)
    site.crashingPart = {
      part: CRASHING_PART,
      how: drawStreamCrash(seed),
      backAfterMs: BACK_AFTER_MS,
    };
  try {
    await site.open(gateways);
    const callers = new Callers(site);
    // Loads before there are callers are not limited.
    site.loadTimes.length = 0;
    callers.start(CALLERS);
    if (withCrashingPart) callers.startCrashing();
    if (options.withDepartures) callers.startLeaving();
    const faults = await playFaults(site, drawFaults(options));
    const recovery = await checkRecovery(site, callers);
    await callers.stop();
    const { records } = callers;
    const breaches = [
      ...judge({
        records,
        arrivals: site.site.journal,
        faults: [...faults, ...listPartCrashes(site)],
        keyTimes: site.keyTimes,
        loadTimes: site.loadTimes,
      }),
      ...recovery.map((detail) => ({ promise: 'recovery' as const, detail })),
      ...site.breaches.map((detail) => ({ promise: 'replicas' as const, detail })),
      ...site.gateways.flatMap(({ plan, ownExits }) =>
        ownExits.map((code) => ({
          promise: 'own exit' as const,
          detail: `${plan.name} ended by itself with ${code}`,
        })),
      ),
    ];
    return {
      seed,
      breaches,
      faults,
      tally: { requests: records.length, faults: faults.length, ends: countEnds(records) },
      logs: Object.fromEntries(
        site.gateways.map(({ plan, process, formerLines }) => [
          plan.name,
          [...formerLines, ...process.lines].slice(-KEPT_LINES),
        ]),
      ),
    };
  } finally {
    await site.close();
  }
}

/** Crashes under the part, which are unplanned. */
function listPartCrashes({ site }: SoakSite): InjectedFault[] {
  return site.journal.flatMap(({ server, endedAt }) =>
    endedAt === undefined
      ? []
      : [{ kind: 'crashEngine' as const, target: server, from: endedAt, to: endedAt }],
  );
}

/** Requests by how they ended: a status, cut off, or not taken. */
function countEnds(records: readonly AskedRecord[]): Record<string, number> {
  const ends: Record<string, number> = {};
  for (const { status, whole, refused } of records) {
    const answer = status === undefined ? 'cut' : whole ? String(status) : `${status} cut`;
    const end = refused ? 'notTaken' : answer;
    ends[end] = (ends[end] ?? 0) + 1;
  }
  return ends;
}

function drawFaults(options: SoakOptions): ScheduledFault[] {
  const { seed, seconds, withRestores = false, withLinkCuts = false } = options;
  const { withCrashingPart = false } = options;
  const forMs = seconds * MS_PER_SECOND;
  const restores = withRestores ? drawRestores(seed, forMs) : [];
  const linkCuts = withLinkCuts ? drawLinkCuts(seed, forMs) : [];
  const favours = withCrashingPart ? drawFavours(seed, forMs) : [];
  const endless = options.withDepartures ? drawEndlessAnswers(seed, forMs) : [];
  return [...drawSchedule(seed, forMs), ...restores, ...linkCuts, ...favours, ...endless].sort(
    (a, b) => a.atMs - b.atMs,
  );
}

async function playFaults(
  site: SoakSite,
  schedule: readonly ScheduledFault[],
): Promise<InjectedFault[]> {
  const startedAt = performance.now();
  const running: Promise<InjectedFault>[] = [];
  for (const fault of schedule) {
    await sleep(Math.max(0, startedAt + fault.atMs - performance.now()));
    running.push(inject(site, fault));
  }
  return Promise.all(running);
}

/** Asks each gateway for each kind until it is answered; an old key must be refused again. */
async function checkRecovery(site: SoakSite, callers: Callers): Promise<string[]> {
  const healedAt = performance.now();
  const problems = await Promise.all(
    site.gateways.flatMap((gateway) => [
      ...KINDS.map((kind) => checkServed(gateway, kind, callers, healedAt)),
      checkRefused(gateway, site, callers, healedAt),
    ]),
  );
  return problems.filter((problem) => problem !== undefined);
}

async function checkServed(
  gateway: SoakGateway,
  kind: AskedKind,
  callers: Callers,
  healedAt: number,
): Promise<string | undefined> {
  let last: number | undefined;
  while (performance.now() - healedAt < RECOVERY_MS) {
    const { status, whole } = await callers.ask(gateway, kind);
    if (status === 200 && whole) return undefined;
    last = status;
    await sleep(PAUSE_MS);
  }
  return `${gateway.plan.name} does not serve ${kind}, last status ${last}`;
}

async function checkRefused(
  gateway: SoakGateway,
  site: SoakSite,
  callers: Callers,
  healedAt: number,
): Promise<string | undefined> {
  const [oldKey] = site.keys;
  if (site.keys.length < 2 || oldKey === undefined) return undefined;
  const isRefused = async (): Promise<boolean> => {
    const { status } = await callers.ask(gateway, 'list', undefined, oldKey);
    return status === 401;
  };
  try {
    await waitFor(
      'the old key to be refused',
      isRefused,
      RECOVERY_MS - (performance.now() - healedAt),
    );
    return undefined;
  } catch {
    return `${gateway.plan.name} lets a key in that was taken away`;
  }
}
