/**
 * The reference pages under docs/, rendered from the code that they describe.
 */
import { format } from 'prettier';
import { EXITS } from '../../src/cli/exit-codes.js';
import { ERRORS } from '../../src/core/errors/index.js';
import { createBufferedBytesTracker } from '../../src/core/buffered-bytes/index.js';
import { LOG_EVENTS } from '../../src/core/logger/index.js';
import { createMetrics, MAX_WORKSPACE_LABELS } from '../../src/core/metrics/index.js';
import { entrySettingsSchema } from '../../src/core/settings/index.js';
import { CONFIGURATION_KINDS, OBJECT_SCHEMAS } from '../../src/objects/index.js';
import { listSchemaRows } from './schema-rows.js';
import { renderTable } from './table.js';

/** A page and its text as it should stand in the repository. */
export interface Page {
  /** Path from the root of the repository. */
  path: string;
  text: string;
}

const GENERATED =
  'This page is rendered from the code by `npm run reference`; a test holds it to it.';
const METRIC_PREFIX = 'yuccasail_';
const SCHEMA_COLUMNS = ['Key', 'Type', 'Default', 'Meaning'];

/** All reference pages, formatted. */
export async function renderPages(): Promise<Page[]> {
  const pages = [
    renderSettings(),
    renderObjects(),
    renderErrors(),
    renderLogEvents(),
    renderMetrics(),
    renderExitCodes(),
  ];
  return Promise.all(pages.map(formatPage));
}

async function formatPage({ path, text }: Page): Promise<Page> {
  return { path, text: await format(text, { parser: 'markdown', printWidth: 100 }) };
}

function renderPage(path: string, title: string, parts: readonly string[]): Page {
  return { path, text: [`# ${title}`, GENERATED, ...parts].join('\n\n') };
}

function renderSettings(): Page {
  return renderPage('docs/settings.md', 'Settings of an entry', [
    'A TOML file, given by `yuccasail entry --settings <file>`. Dotted keys are tables: `listen.callers` is `callers` in `[listen]`. An unknown key, a value of the wrong type or unit, or a combination that cannot work is refused before anything starts (exit code 2).',
    renderTable(SCHEMA_COLUMNS, listSchemaRows(entrySettingsSchema)),
  ]);
}

function renderObjects(): Page {
  const kinds = CONFIGURATION_KINDS.map(
    (kind) =>
      `## ${kind}\n\n${renderTable(
        SCHEMA_COLUMNS.slice(0, 3),
        listSchemaRows(OBJECT_SCHEMAS[kind]).map((row) => row.slice(0, 3)),
      )}`,
  );
  return renderPage('docs/objects.md', 'Objects that operators write', [
    'Applied from TOML files by `yuccasail apply -f <file>`: an array of tables for each kind, each with a `name` beside the keys below. The comments in `src/objects/schemas.ts` say what each key does.',
    ...kinds,
  ]);
}

function renderErrors(): Page {
  const rows = Object.entries(ERRORS).map(([kind, { title, status, conclusion, hint }]) => [
    `\`${kind}\``,
    title,
    String(status),
    `\`${conclusion}\``,
    hint,
  ]);
  return renderPage('docs/errors.md', 'Errors', [
    'The closed list of error kinds. The conclusion is what a caller may take from the error: `notRun`, no byte of the request can have reached a backend server; `unknown`, it may have run; `failed`, it ran and failed; `refused`, it was not run and asking again unchanged will not help.',
    renderTable(['Kind', 'Title', 'Status', 'Conclusion', 'What to do'], rows),
  ]);
}

function renderLogEvents(): Page {
  const rows = Object.entries(LOG_EVENTS)
    .sort(([, one], [, other]) => one.number - other.number)
    .map(([name, { number, level, message }]) => [String(number), `\`${name}\``, level, message]);
  return renderPage('docs/log-events.md', 'Log events', [
    'One JSON line each on standard error, with `event` (the number), `name`, `level`, `message`, `source` and values of its own. Numbers are never reused.',
    renderTable(['Number', 'Name', 'Level', 'What happened'], rows),
  ]);
}

function renderMetrics(): Page {
  const rows = createMetrics({ unreadBytes: createBufferedBytesTracker() })
    .registry.getMetricsAsArray()
    .filter(({ name }) => name.startsWith(METRIC_PREFIX))
    .map((metric) => [`\`${metric.name}\``, listLabels(metric), metric.help])
    .sort(([one = ''], [other = '']) => (one < other ? -1 : 1));
  return renderPage('docs/metrics.md', 'Metrics', [
    `Served in the Prometheus text format at \`GET /metrics\` of the operators' address, beside Node's own \`process_*\` and \`nodejs_*\`. Histograms are kept for each workspace and class; workspaces beyond the first ${MAX_WORKSPACE_LABELS} are counted together as \`other\`.`,
    renderTable(['Name', 'Labels', 'What it counts'], rows),
  ]);
}

/** prom-client's types leave out the names of a metric's labels. */
function listLabels(metric: object): string {
  const names = 'labelNames' in metric && Array.isArray(metric.labelNames) ? metric.labelNames : [];
  return names.length === 0 ? 'none' : names.map((name) => `\`${String(name)}\``).join(', ');
}

function renderExitCodes(): Page {
  const rows = Object.entries(EXITS).map(([name, { code, meaning }]) => [
    String(code),
    `\`${name}\``,
    meaning,
  ]);
  return renderPage('docs/operators/exit-codes.md', 'Exit codes', [
    'The same for every command of `yuccasail`.',
    renderTable(['Code', 'Name', 'Meaning'], rows),
  ]);
}
