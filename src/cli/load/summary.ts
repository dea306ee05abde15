/**
 * The summary of a load run as a table for people.
 */
import type { Percentiles, StreamSummary } from './recorder.js';

const COLUMNS = [
  'stream',
  'requests',
  'whole',
  'errors',
  'cut',
  'unreachable',
  'not sent',
  'first token p50/p95/p99',
  'between tokens p50/p95/p99',
  'total p50/p95/p99',
];

/** One line for each stream, spans in milliseconds; then one line for each kind of error. */
export function renderSummary(streams: readonly StreamSummary[]): string {
  const rows = [COLUMNS, ...streams.map(renderRow)];
  const widths = COLUMNS.map((_, column) =>
    Math.max(...rows.map((cells) => (cells[column] ?? '').length)),
  );
  const lines = rows.map((cells) =>
    cells
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return [...lines, ...streams.flatMap(renderErrors)].join('\n');
}

function renderRow(stream: StreamSummary): string[] {
  const errors = Object.values(stream.errors).reduce((sum, count) => sum + count, 0);
  return [
    stream.name,
    String(stream.requests),
    String(stream.whole),
    String(errors),
    String(stream.cut),
    String(stream.unreachable),
    String(stream.notSent),
    renderPercentiles(stream.firstToken),
    renderPercentiles(stream.betweenTokens),
    renderPercentiles(stream.total),
  ];
}

function renderPercentiles({ count, p50, p95, p99 }: Percentiles): string {
  if (count === 0) return '-';
  return [p50, p95, p99].map((span) => span.toFixed(1)).join(' / ');
}

function renderErrors({ name, errors }: StreamSummary): string[] {
  return Object.entries(errors).map(([kind, count]) => `${name}: ${count} × ${kind}`);
}
