/**
 * What one gateway costs in fleets of several sizes, against stand-ins for everything around it.
 *
 *     npm run profile -- --gateways 7,63,195,410 --engines 48,171,760,1700 --functions
 *
 * Prints a line for each size; with `--functions` also the functions that took most of the time, from a
 * second run, since sampling takes time of its own.
 */
import { parseArgs } from 'node:util';
import { buildReadable } from './profile/measured-gateway.js';
import { measureGateway, type FleetSize, type GatewayCosts } from './profile/phases.js';

const { values } = parseArgs({
  options: {
    gateways: { type: 'string', default: '7,63,195,410' },
    engines: { type: 'string', default: '48,171,760,1700' },
    failureDomains: { type: 'string', default: '3,3,5,20' },
    routes: { type: 'string', default: '30' },
    functions: { type: 'boolean', default: false },
  },
});

const LISTED_FUNCTIONS = 10;

function readList(text: string): number[] {
  return text.split(',').map(Number);
}

function describe({ gateways, engines }: FleetSize, costs: GatewayCosts): string {
  const ms = (value: number): string => `${value.toFixed(2)} ms`;
  return [
    `${gateways} gateways, ${engines} engines: start ${ms(costs.startMs)}`,
    `a second at rest ${ms(costs.restMsPerSecond)}`,
    `a change of an engine ${ms(costs.engineChangeMs)}`,
    `a configuration ${ms(costs.configurationMs)}`,
    `a request ${ms(costs.requestMs)}`,
    `a stream ${ms(costs.streamMs)}`,
    `${costs.privateMb.toFixed(0)} MB`,
  ].join(', ');
}

const engines = readList(values.engines);
const failureDomains = readList(values.failureDomains);
if (values.functions) await buildReadable();
for (const [index, gateways] of readList(values.gateways).entries()) {
  const size: FleetSize = {
    gateways,
    engines: engines[index] ?? 0,
    failureDomains: failureDomains[index] ?? 1,
    routes: Number(values.routes),
  };
  console.log(describe(size, await measureGateway(size, false)));
  if (!values.functions) continue;
  const { functions } = await measureGateway(size, true);
  for (const { name, ms } of functions.slice(0, LISTED_FUNCTIONS)) {
    console.log(`  ${ms.toFixed(1)} ms ${name}`);
  }
}
process.exit(0);
