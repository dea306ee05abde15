/**
 * Faults together and at random over real gateway processes, with the promises judged from what
 * callers and backend servers saw.
 *
 *     npm run soak -- --seeds 5 --first 1 --seconds 20 --gateways 3
 *
 * With --restores, the store is also restored from copies that are some seconds old; with --links,
 * gateways also lose their links to all backend servers; with --parts, engines crash under one part of
 * prompts, and most new connections go to one gateway at times; with --departures, callers leave early and
 * servers send bytes without end.
 *
 * Prints one line for each seed, after a breach also the faults. Ends with status 1 when any
 * promise was broken.
 */
import { mkdir, writeFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { runSoak, type SoakReport } from './soak/run.js';

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '3' },
    first: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '15' },
    gateways: { type: 'string', default: '3' },
    restores: { type: 'boolean', default: false },
    links: { type: 'boolean', default: false },
    parts: { type: 'boolean', default: false },
    departures: { type: 'boolean', default: false },
  },
});

const OUT = 'bench/out';

async function report(result: SoakReport): Promise<void> {
  const { seed, breaches, faults, tally } = result;
  console.log(`seed ${seed}: ${breaches.length} broken, ${JSON.stringify(tally)}`);
  if (breaches.length === 0) return;
  for (const { promise, detail } of breaches) console.log(`  BROKEN ${promise}: ${detail}`);
  for (const { kind, target, from, to } of faults) {
    console.log(`  ${Math.round(from)} to ${Math.round(to)} ms: ${kind} ${target}`);
  }
  await mkdir(OUT, { recursive: true });
  const file = `${OUT}/soak-${seed}.json`;
  await writeFile(file, JSON.stringify(result));
  console.log(`  logs and records: ${file}`);
}

const first = Number(values.first);
let broken = 0;
for (let seed = first; seed < first + Number(values.seeds); seed += 1) {
  const result = await runSoak({
    seed,
    seconds: Number(values.seconds),
    gateways: Number(values.gateways),
    withRestores: values.restores,
    withLinkCuts: values.links,
    withCrashingPart: values.parts,
    withDepartures: values.departures,
  });
  await report(result);
  if (result.breaches.length > 0) broken += 1;
}
process.exitCode = broken === 0 ? 0 : 1;
