/**
 * Checks whether processes of backend servers have ended.
 *
 * A server that does not answer may have ended without its address refusing connections. It is asked
 * again, until its next process answers or it may have been silent for another reason.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { incarnationKey } from '../../controllers/groups/index.js';
import type { Clock, Milliseconds } from '../../core/clock/index.js';
import type { BackendServer } from '../../ports/index.js';
import type { EngineCalls } from '../backends/engine-calls.js';

/** A check of one process. */
export interface ExitCheck {
  startedAt: Milliseconds;
  /** When the last probe was sent. */
  probedAt: Milliseconds;
  result: 'checking' | 'ended' | 'alive' | 'unconfirmed';
}

export interface ExitChecks {
  /** Checks the server's process, unless a check of it has started a moment ago; returns that. */
  check(server: BackendServer): ExitCheck;
}

/** Attempts that break off at one server within this time share one check. */
const VALID_MS: Milliseconds = 500;
const RECHECK_INTERVAL_MS: Milliseconds = 700;
const MAX_PROBES = 8;

/** `onResult` is called with each finished check. */
export function createExitChecks(
  clock: Clock,
  calls: Pick<EngineCalls, 'probe'>,
  onResult: (server: BackendServer, check: ExitCheck) => void,
): ExitChecks {
  const checks = new Map<string, ExitCheck>();

  const run = async (server: BackendServer, check: ExitCheck): Promise<void> => {
    for (let probes = 1; check.result === 'checking'; probes += 1) {
      check.probedAt = clock.now();
      const { kind } = await calls.probe(server);
      if (kind === 'gone') check.result = 'ended';
      else if (kind === 'answers') check.result = 'alive';
      else if (probes >= MAX_PROBES) check.result = 'unconfirmed';
      else await sleep(RECHECK_INTERVAL_MS, undefined, { ref: false });
    }
    onResult(server, check);
  };
  const prune = (now: Milliseconds): void => {
    for (const [processKey, { startedAt, result }] of checks) {
      if (result !== 'checking' && now - startedAt >= VALID_MS) checks.delete(processKey);
    }
  };
  return {
    check: (server) => {
      const now = clock.now();
      prune(now);
      const processKey = incarnationKey(server);
      const existing = checks.get(processKey);
      if (existing) return existing;
      const check: ExitCheck = { startedAt: now, probedAt: now, result: 'checking' };
      checks.set(processKey, check);
      void run(server, check);
      return check;
    },
  };
}
