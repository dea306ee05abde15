/**
 * Refuses completions that crash engines, and those with a message in common that does.
 *
 * An attempt that breaks off is evidence only if the engine's process has ended. Entries share their
 * reports and quarantines as an extension of their digests.
 */
import type { CompletionRequest } from '../../adapters/callers/index.js';
import { MAX_EXTENSION_LENGTH } from '../../controllers/membership/index.js';
import { quarantineNewsSchema, type QuarantineNews } from '../../controllers/peering/index.js';
import {
  hashFingerprint,
  partFingerprint,
  QuarantineTable,
} from '../../controllers/quarantine/index.js';
import type { Candidate } from '../../controllers/routing/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { parseJson } from '../../core/json/index.js';
import type { DigestExtension } from '../membership/index.js';
import type { EntryContext } from '../types.js';

/** Fingerprints of one completion: its own, then those of all messages but the last. */
export type CompletionFingerprints = readonly string[];

export interface RequestQuarantine {
  /** The failure with which the completion is refused; undefined if it may be sent. */
  refusalOf(fingerprints: CompletionFingerprints): Failure<'quarantined'> | undefined;
  /** Records that an attempt broke off at the replica's leader. */
  recordBroken(fingerprints: CompletionFingerprints, candidate: Candidate): void;
  /** Records a complete answer that an engine began at `begunAt`. */
  recordAnswered(fingerprints: CompletionFingerprints, begunAt: Milliseconds): void;
  extension: DigestExtension;
}

/** Messages after these are not told apart from the prompt as a whole. */
const MAX_PARTS = 16;

/** Fingerprints the completion by its workspace, model and messages. */
export function fingerprintCompletion({
  caller,
  model,
  messages,
}: Pick<CompletionRequest, 'caller' | 'model' | 'messages'>): string[] {
  const shared = messages.slice(0, -1).slice(0, MAX_PARTS);
  const parts = shared.map(({ role, content }) =>
    partFingerprint(hashFingerprint([role, content])),
  );
  const identity = [
    caller.workspace,
    model,
    ...messages.flatMap((each) => [each.role, each.content]),
  ];
  return [hashFingerprint(identity), ...new Set(parts)];
}

/** Creates the quarantine of an entry. */
export function createRequestQuarantine({
  board,
  clock,
  engines,
  logger,
  settings,
}: Pick<EntryContext, 'board' | 'clock' | 'engines' | 'logger' | 'settings'>): RequestQuarantine {
  const table = new QuarantineTable((fingerprint, remaining) => {
    logger.log('quarantineReleased', { fingerprint, ...(remaining && { remaining }) });
  });
  const listeners = new Set<() => void>();

  const logStarted = (quarantines: readonly string[], source: string): void => {
    const leftMs = new Map(
      table.listQuarantined(clock.now()).map((notice) => [notice.fingerprint, notice.leftMs]),
    );
    for (const fingerprint of quarantines)
      logger.log('requestQuarantined', { fingerprint, source, leftMs: leftMs.get(fingerprint) });
  };
  const findIncarnation = ({ replica, leader }: Candidate): string | undefined => {
    const plans = [...board.plans.read().values()];
    const planned = plans.flatMap(({ value }) => value.replicas).find(({ id }) => id === replica);
    return planned?.members.find(({ instance }) => instance === leader)?.incarnation;
  };
  const reportIfEnded = async (
    fingerprints: CompletionFingerprints,
    candidate: Candidate,
  ): Promise<void> => {
    const brokenAt = clock.now();
    const { leader, address } = candidate;
    const incarnation = findIncarnation(candidate);
    const check = await engines.checkProcess(
      address,
      { instance: leader, ...(incarnation !== undefined && { incarnation }) },
      settings.health.probeTimeoutMs,
    );
    if (check !== 'ended') return;
    const started = table.recordOwnFailure(leader, [fingerprints], brokenAt, clock.now());
    logger.log('serverEndedUnderRequests', { server: leader, requests: 1 });
    logStarted(started, 'own evidence');
    for (const listener of listeners) listener();
  };
  const merge = ({ reports, quarantined }: QuarantineNews, source: string): void => {
    logStarted(table.applyNews(reports, quarantined, clock.now()).started, source);
  };
  return {
    refusalOf: (fingerprints) => {
      const now = clock.now();
      logStarted(table.review(now), 'own evidence');
      const leftMs = table.remainingMs(fingerprints, now);
      return leftMs === undefined ? undefined : createFailure('quarantined', undefined, leftMs);
    },
    recordBroken: (fingerprints, candidate) => {
      void reportIfEnded(fingerprints, candidate);
    },
    recordAnswered: (fingerprints, begunAt) => {
      table.recordOwnAnswer(fingerprints, begunAt, clock.now());
    },
    extension: {
      name: 'quarantine',
      export: () => {
        const now = clock.now();
        return exportNews({
          reports: table.listOwnReports(now),
          quarantined: table.listQuarantined(now),
        });
      },
      import: (peer, text, ageMs) => {
        const news = quarantineNewsSchema.safeParse(parseJson(text));
        if (news.success) merge(ageNews(news.data, ageMs), peer);
      },
      onUrgentChange: (listener) => {
        listeners.add(listener);
        return () => listeners.delete(listener);
      },
    },
  };
}

/** The news as JSON text within the length of an extension; the oldest reports are dropped first. */
function exportNews({ reports, quarantined }: QuarantineNews): string | undefined {
  if (reports.length + quarantined.length === 0) return undefined;
  const kept: QuarantineNews = { reports: [...reports], quarantined: [...quarantined] };
  let text = JSON.stringify(kept);
  while (text.length > MAX_EXTENSION_LENGTH) {
    if (kept.reports.length > 0) kept.reports.shift();
    else kept.quarantined.shift();
    text = JSON.stringify(kept);
  }
  return text;
}

function ageNews(
  { reports, quarantined }: QuarantineNews,
  elapsedMs: Milliseconds,
): QuarantineNews {
  return {
    reports: reports.map((report) => ({ ...report, ageMs: report.ageMs + elapsedMs })),
    quarantined: quarantined.map((notice) => ({
      ...notice,
      ageMs: notice.ageMs + elapsedMs,
      leftMs: Math.max(0, notice.leftMs - elapsedMs),
    })),
  };
}
