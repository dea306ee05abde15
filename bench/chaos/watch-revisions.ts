/**
 * Looks at the configuration that each entry has in force, again and again.
 */
import { getJson } from '../../features/promises/http.js';
import type { EntryProcess } from '../../features/promises/deployment.js';
import type { Status } from '../../src/controllers/status/index.js';
import type { Evidence } from './evidence.js';

const EVERY_MS = 100;

/** Observes until it is stopped; an entry that does not answer is passed over. */
export function watchRevisions(
  listEntries: () => readonly EntryProcess[],
  evidence: Evidence,
): { stop(): void } {
  const asked = new Set<string>();
  const look = async (entry: EntryProcess): Promise<void> => {
    // One look at a time, so that sights of one entry are in the order of its answers.
    if (asked.has(entry.name)) return;
    asked.add(entry.name);
    const sight = await seeRevision(entry).catch(() => undefined);
    asked.delete(entry.name);
    if (sight !== undefined) evidence.revisions.push(sight);
  };
  const timer = setInterval(() => {
    for (const entry of listEntries()) void look(entry);
  }, EVERY_MS);
  return {
    stop: () => {
      clearInterval(timer);
    },
  };
}

async function seeRevision(entry: EntryProcess) {
  const answer = await getJson(entry.operators, '/status');
  const { configuration, entry: self } = answer.body as Status;
  const { name } = entry;
  return { entry: name, at: Date.now(), revision: configuration.revision, ready: self.ready };
}
