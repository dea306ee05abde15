/**
 * One run: a deployment, callers, the faults of one seed, and the judgement.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { askStreamed, callService } from '../../features/promises/callers.js';
import {
  SERVICE,
  startDeployment,
  type Deployment,
  type EntryProcess,
} from '../../features/promises/deployment.js';
import { waitFor } from '../../features/support/waiting.js';
import { createEvidence, type Evidence } from './evidence.js';
import { createInjector, type Injector } from './inject.js';
import { answerOf, judgeEvidence, tallyEvidence, type Tally, type Violation } from './judge.js';
import { drawSchedule, type ScheduledFault } from './schedule.js';
import { createQuestion, startTraffic } from './traffic.js';
import { watchRevisions } from './watch-revisions.js';

/** What became of one seed. */
export interface ChaosReport {
  seed: number;
  schedule: readonly ScheduledFault[];
  tally: Tally;
  violations: readonly Violation[];
  recoveryMs: number | undefined;
  /** Last log lines of each entry, for a failed run. */
  logs: ReadonlyMap<string, readonly string[]>;
}

const PLAN = {
  engines: { 'fabric-1': 4, 'fabric-2': 4 },
  services: 2,
  entries: 3,
  replicaSize: 2,
  replicas: 3,
};
/** Beyond the leases, the spans that new owners wait, loading, and the time an entry is forgotten. */
const RECOVERY_BOUND_MS = 20_000;

/**
 * Runs the faults of `seed` over `seconds`. Odd seeds have engines that ignore fencing numbers.
 *
 * @example const { violations } = await runChaos(7, 10);
 */
export async function runChaos(seed: number, seconds: number): Promise<ChaosReport> {
  const schedule = drawSchedule(seed, seconds);
  const fencing = seed % 2 === 0 ? 'checked' : 'ignored';
  const deployment = await startDeployment({ ...PLAN, fencing });
  try {
    const evidence = createEvidence();
    await deployment.whenWhole(PLAN.replicas);
    await deployment.whenReady();
    await runFaults(deployment, evidence, seed, schedule);
    const entries = [...deployment.entries.values()];
    return {
      seed,
      schedule,
      tally: tallyEvidence(evidence),
      violations: judgeEvidence(evidence),
      recoveryMs: evidence.recoveryMs,
      logs: new Map(entries.map(({ name, process }) => [name, process.logLines])),
    };
  } finally {
    await deployment.stop();
  }
}

async function runFaults(
  deployment: Deployment,
  evidence: Evidence,
  seed: number,
  schedule: readonly ScheduledFault[],
): Promise<void> {
  const injector = createInjector(deployment, evidence);
  const listEntries = (): readonly EntryProcess[] => injector.listEntries();
  const traffic = startTraffic({ seed, listEntries, evidence });
  const revisions = watchRevisions(listEntries, evidence);
  await inject(injector, schedule);
  await injector.healAll();
  await recover(deployment, injector, evidence);
  await traffic.stop();
  revisions.stop();
  await collectJournals(deployment, evidence);
}

async function inject(injector: Injector, schedule: readonly ScheduledFault[]): Promise<void> {
  const startedAt = performance.now();
  const injected: Promise<void>[] = [];
  for (const { atMs, fault } of schedule) {
    await sleep(Math.max(0, startedAt + atMs - performance.now()));
    injected.push(injector.inject(fault));
  }
  await Promise.all(injected);
}

/** Waits until all replicas are whole and every entry serves both kinds of request. */
async function recover(
  deployment: Deployment,
  injector: Injector,
  evidence: Evidence,
): Promise<void> {
  const healedAt = performance.now();
  const left = (): number => Math.max(1, healedAt + RECOVERY_BOUND_MS - performance.now());
  try {
    await waitFor(
      'the replicas to be whole',
      async () => {
        const replicas = await deployment.readReplicas();
        return replicas.filter(({ phase }) => phase === 'whole').length >= PLAN.replicas;
      },
      left(),
    );
    for (const entry of injector.listEntries()) {
      await waitFor(`${entry.name} to be ready`, () => entry.isReady(), left());
      await waitFor(`${entry.name} to answer streams`, () => servesStreams(entry), left());
      await waitFor(`${entry.name} to answer calls`, () => servesCalls(entry), left());
    }
    evidence.recoveryMs = performance.now() - healedAt;
  } catch (error) {
    const plans = JSON.stringify(await deployment.readReplicas());
    evidence.missing = `${error instanceof Error ? error.message : String(error)}; plans: ${plans}`;
  }
}

let probes = 0;

async function servesStreams(entry: EntryProcess): Promise<boolean> {
  probes += 1;
  const question = createQuestion(probes);
  const reply = await askStreamed(entry.callers, question);
  return reply.whole && reply.text === answerOf(question);
}

async function servesCalls(entry: EntryProcess): Promise<boolean> {
  probes += 1;
  const marker = `probe-${probes}`;
  const body = JSON.stringify({ marker });
  const path = `${SERVICE}/check-ins`;
  const reply = await callService(entry.callers, 'POST', path, { key: marker, body });
  return reply.status === 200;
}

async function collectJournals(deployment: Deployment, evidence: Evidence): Promise<void> {
  for (const engine of deployment.engines.values()) {
    const journal = await engine.journal();
    evidence.engineJournals.set(journal.incarnation, journal);
  }
  for (const service of deployment.services.values()) {
    const journal = await service.journal();
    evidence.serviceJournals.set(journal.incarnation, journal);
  }
  evidence.plans = await deployment.platform.journal('domain-plan');
}
