/**
 * `yuccasail label`: sets and removes labels of one object.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Exit } from '../exit-codes.js';
import {
  appliedChangeSchema,
  awaitAcceptance,
  endWithAcceptance,
  endWithFailure,
  OPERATORS_HELP,
  parseOperatorsCommand,
  printAcceptance,
  printWarnings,
} from '../operators/index.js';
import { printJson } from '../output.js';

const HELP = `
Usage
  $ yuccasail label <kind> <name> key=value ... key- ...

Kinds
  model, service, workspace, instance

Options${OPERATORS_HELP}
  --wait-ms    How long to wait until the change is in force everywhere (default: 10000)

"key=value" sets a label, "key-" removes one. Exits as "yuccasail apply" does.
`;

/** By key; null removes the label. */
type LabelChanges = Record<string, string | null>;

export async function runLabel(argv: readonly string[]): Promise<Exit> {
  const args = parseOperatorsCommand(HELP, argv, ({ length }) => length > 2);
  const { client, json, waitMs } = args;
  const [kind = '', name = '', ...texts] = args.input;
  const labels = parseLabels(texts);
  if (labels.isErr()) {
    process.stderr.write(`error: "${labels.error}" is neither key=value nor key-\n`);
    return 'usage';
  }
  const changed = await client.call({
    method: 'PATCH',
    path: `/labels/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`,
    body: { labels: labels.value },
    schema: appliedChangeSchema,
  });
  if (changed.isErr()) return endWithFailure(changed.error);
  printWarnings(changed.value);
  const { object } = changed.value;
  const acceptance = await awaitAcceptance(client, object.version, waitMs);
  if (acceptance.isErr()) return endWithFailure(acceptance.error);
  if (json) printJson({ object, acceptance: acceptance.value });
  else printAcceptance(acceptance.value);
  return endWithAcceptance(acceptance.value);
}

function parseLabels(texts: readonly string[]): Result<LabelChanges, string> {
  const labels: LabelChanges = {};
  for (const text of texts) {
    const set = /^([^=]+)=(.*)$/.exec(text);
    const removed = /^([^=]+)-$/.exec(text);
    if (set?.[1] !== undefined) labels[set[1]] = set[2] ?? '';
    else if (removed?.[1] !== undefined) labels[removed[1]] = null;
    else return err(text);
  }
  return ok(labels);
}
