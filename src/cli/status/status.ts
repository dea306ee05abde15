/**
 * `yuccasail status`: what one entry sees of everything that operators wrote.
 */
import { statusSchema, type Status } from '../../controllers/status/index.js';
import type { Exit } from '../exit-codes.js';
import { endWithFailure, OPERATORS_HELP, parseOperatorsCommand } from '../operators/index.js';
import { printJson, printLine } from '../output.js';

const HELP = `
Usage
  $ yuccasail status

Options${OPERATORS_HELP}
`;

export async function runStatus(argv: readonly string[]): Promise<Exit> {
  const { client, json } = parseOperatorsCommand(HELP, argv, ({ length }) => length === 0);
  const status = await client.call({ method: 'GET', path: '/status', schema: statusSchema });
  if (status.isErr()) return endWithFailure(status.error);
  if (json) printJson(status.value);
  else renderStatus(status.value).forEach(printLine);
  return 'done';
}

function renderStatus(status: Status): string[] {
  return [
    ...renderEntry(status),
    ...status.peers.map(renderPeer),
    ...status.models.flatMap(renderModel),
    ...status.services.flatMap(renderService),
  ];
}

function renderEntry({ entry, configuration }: Status): string[] {
  const ready = entry.ready ? 'ready' : 'not ready';
  const { revision, acceptance, lagging, rejected } = configuration;
  const names = lagging.map(({ name }) => name).join(', ');
  const lacking = names === '' ? '' : ` at ${names}`;
  return [
    `entry ${entry.name} in ${entry.failureDomain}: ${ready}${because(entry.reason)}`,
    `configuration: revision ${revision}, ${acceptance}${lacking}`,
    ...rejected.map(({ kind, name, reason }) => `  rejected ${kind} "${name}": ${reason}`),
  ];
}

function renderPeer({ name, failureDomain, ready, stopping, revision, ageMs }: PeerStatus): string {
  const ending = stopping ? 'stopping' : 'not ready';
  const state = ready ? 'ready' : ending;
  return `entry ${name} in ${failureDomain}: ${state}, revision ${revision}, heard ${ageMs} ms ago`;
}

function renderModel({ name, wanted, serving, replicas, reason }: ModelStatus): string[] {
  const lines = replicas.map(
    (replica) =>
      `  ${replica.id} on ${replica.fabricDomain}: ${replica.phase}, ${replica.members.join(' ')}${because(replica.reason)}`,
  );
  return [`model ${name}: ${serving} of ${wanted} replicas serve${because(reason)}`, ...lines];
}

function renderService({ name, instances, reason }: ServiceStatus): string[] {
  const serving = instances.filter((instance) => instance.serving).length;
  const lines = instances.map(
    (instance) =>
      `  ${instance.name}: ${instance.serving ? 'serves' : 'does not serve'}, ${instance.inFlight} in flight${because(instance.reason)}`,
  );
  return [`service ${name}: ${serving} of ${instances.length} serve${because(reason)}`, ...lines];
}

type PeerStatus = Status['peers'][number];
type ModelStatus = Status['models'][number];
type ServiceStatus = Status['services'][number];

function because(reason: string | undefined): string {
  return reason === undefined ? '' : ` (${reason})`;
}
