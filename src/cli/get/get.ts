/**
 * `yuccasail get`: objects as the platform has them.
 */
import { objectListSchema } from '../../adapters/platform/index.js';
import { OBJECT_KINDS, storedObjectSchema, type StoredObject } from '../../objects/index.js';
import type { Exit } from '../exit-codes.js';
import {
  endWithFailure,
  OPERATORS_HELP,
  parseOperatorsCommand,
  type OperatorsArguments,
} from '../operators/index.js';
import { printJson, printLine } from '../output.js';

const HELP = `
Usage
  $ yuccasail get <kind> [<name>]

Kinds
  ${OBJECT_KINDS.join(', ')}

Options${OPERATORS_HELP}
`;

const INDENT = 2;

export async function runGet(argv: readonly string[]): Promise<Exit> {
  const args = parseOperatorsCommand(HELP, argv, ({ length }) => length === 1 || length === 2);
  const [kind = '', name] = args.input;
  return name === undefined ? listKind(args, kind) : getOne(args, kind, name);
}

async function listKind({ client, json }: OperatorsArguments, kind: string): Promise<Exit> {
  const path = `/objects/${encodeURIComponent(kind)}`;
  const list = await client.call({ method: 'GET', path, schema: objectListSchema });
  if (list.isErr()) return endWithFailure(list.error);
  const objects = list.value.objects.filter(({ deleted }) => !deleted);
  if (json) printJson({ objects, revision: list.value.revision });
  else for (const object of objects) printLine(`${object.name}  version ${object.version}`);
  return 'done';
}

async function getOne(
  { client, json }: OperatorsArguments,
  kind: string,
  name: string,
): Promise<Exit> {
  const path = `/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
  const object = await client.call({ method: 'GET', path, schema: storedObjectSchema });
  if (object.isErr()) return endWithFailure(object.error);
  if (json) printJson(object.value);
  else printObject(object.value);
  return 'done';
}

function printObject({ kind, name, version, value }: StoredObject): void {
  printLine(`${kind} "${name}", version ${version}`);
  printLine(JSON.stringify(value, null, INDENT));
}
