/**
 * Tables in Markdown.
 */

/** A table with one row for each of `rows`; cells may hold any text. */
export function renderTable(columns: readonly string[], rows: readonly string[][]): string {
  const lines = [columns, columns.map(() => '---'), ...rows];
  return lines.map((cells) => `| ${cells.map(escapeCell).join(' | ')} |`).join('\n');
}

function escapeCell(text: string): string {
  return text.replaceAll('|', '\\|').replaceAll('\n', ' ');
}
