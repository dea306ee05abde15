/**
 * Prints what the logs tell of lost requests: a table of causes, and a line for each second.
 */
import { LOAD_WINDOW_MS, type LoadSummary } from './loads.js';
import { LOSS_CAUSES, type LossCause, type LossSummary, type SecondCounts } from './losses.js';

/** Width of the bar of the second with the most requests. */
const BAR_WIDTH = 60;

export function renderTable(summary: LossSummary): string[] {
  const { routes, unreadLines, unreadSamples, suppressedLines } = summary;
  const lines = routes.flatMap(({ route, onTime, late, unserved, callerGone, causes }) => [
    `${route}: ${onTime} on time, ${late} late, ${unserved} not served, ${callerGone} left by their callers`,
    ...Object.entries(causes)
      .sort(([, a], [, b]) => b - a)
      .map(([cause, count]) => `  ${count} ${cause}: ${LOSS_CAUSES[cause as LossCause]}`),
  ]);
  const notes = Object.entries(suppressedLines).map(
    ([event, count]) => `${count} lines of ${event} were left out by the gateways`,
  );
  if (unreadLines > 0) {
    notes.push(`${unreadLines} lines could not be read, such as`);
    notes.push(...unreadSamples.map((sample) => `  ${sample}`));
  }
  return [...lines, ...notes];
}

/** A bar for each second: `#` on time, `o` late, `x` not served. */
export function renderSeconds(seconds: readonly SecondCounts[]): string[] {
  const total = ({ onTime, late, unserved }: SecondCounts): number => onTime + late + unserved;
  const most = Math.max(1, ...seconds.map(total));
  const bar = (count: number, mark: string): string =>
    mark.repeat(Math.round((count / most) * BAR_WIDTH));
  return seconds.map(
    (each) =>
      `${String(each.second).padStart(6)} s ${String(total(each)).padStart(6)} ` +
      bar(each.onTime, '#') +
      bar(each.late, 'o') +
      bar(each.unserved, 'x'),
  );
}

export function renderLoads({ total, most, byReason }: LoadSummary): string[] {
  const rows = Object.entries(byReason).sort(([, a], [, b]) => b - a);
  return [
    `${total} orders for which weights are loaded`,
    ...(most === undefined
      ? []
      : [`${most.loads} at most within ${LOAD_WINDOW_MS} ms, from ${most.from}`]),
    ...rows.map(([reason, count]) => `  ${count} ${reason}`),
  ];
}
