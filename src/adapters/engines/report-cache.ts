/**
 * The last report of each engine by its entity tag, so that an engine whose report has not changed
 * need not send it again. Engines that know no entity tags answer whole, as before.
 */
import { ok, type Result } from 'neverthrow';
import { readAnswer } from './answers.js';
import { engineReportSchema, type EngineReport } from './protocol.js';
import type { WholeAnswer } from './short-call.js';
import type { EngineFailure } from './types.js';

const NOT_MODIFIED = 304;
/** Reports kept; the engines of a large fleet a few times over. */
const REPORTS_MOST = 4_096;

interface TaggedReport {
  etag: string;
  report: EngineReport;
}

/** Reports by address. */
export interface ReportCache {
  /** Headers that ask for the report unless it is the one kept. */
  listHeaders(address: string): Readonly<Record<string, string>>;
  /** The report that `answer` stands for. */
  read(address: string, answer: WholeAnswer): Result<EngineReport, EngineFailure>;
}

/** An empty cache. */
export function createReportCache(): ReportCache {
  const kept = new Map<string, TaggedReport>();

  function keep(address: string, etag: string | undefined, report: EngineReport): void {
    kept.delete(address);
    if (etag === undefined) return;
    kept.set(address, { etag, report });
    const [oldest] = kept.keys();
    if (kept.size > REPORTS_MOST && oldest !== undefined) kept.delete(oldest);
  }

  function listHeaders(address: string): Readonly<Record<string, string>> {
    const known = kept.get(address);
    if (known === undefined) return {};
    return { 'if-none-match': known.etag };
  }

  return {
    listHeaders,
    read: (address, answer) => {
      const known = kept.get(address);
      const isKept = answer.status === NOT_MODIFIED && known !== undefined;
      // A tag that is not the one kept belongs to a report that this client does not have.
      if (isKept && (answer.etag ?? known.etag) === known.etag) {
        return ok(known.report);
      }
      const read = readAnswer(address, answer, engineReportSchema);
      if (read.isOk()) keep(address, answer.etag, read.value);
      else kept.delete(address);
      return read;
    },
  };
}
