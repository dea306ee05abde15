/**
 * Faults together and at random, over real processes, with invariants judged from outside.
 *
 *     npm run chaos -- --seeds 5 --first 1 --seconds 20
 *
 * Prints one line for each seed; after a breach also the schedule and the entries' last log lines.
 * Ends with status 1 when any invariant was broken.
 */
import { parseArgs } from 'node:util';
import { runChaos, type ChaosReport } from './chaos/run.js';

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '3' },
    first: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '10' },
  },
});

const SHOWN_LOG_LINES = 60;

function printReport(report: ChaosReport): void {
  const { seed, schedule, tally, violations, recoveryMs } = report;
  const recovered = recoveryMs === undefined ? 'not recovered' : `${Math.round(recoveryMs)} ms`;
  console.log(`seed ${seed}: ${violations.length} violations, recovery ${recovered}`);
  console.log(`  ${schedule.length} faults, ${JSON.stringify(tally)}`);
  if (violations.length === 0) return;
  for (const { invariant, detail } of violations) console.log(`  BROKEN ${invariant}: ${detail}`);
  for (const { atMs, fault } of schedule) console.log(`  ${atMs} ms ${JSON.stringify(fault)}`);
  for (const [entry, lines] of report.logs) {
    for (const line of lines.slice(-SHOWN_LOG_LINES)) console.log(`  ${entry} ${line}`);
  }
}

let broken = 0;
const first = Number(values.first);
for (let seed = first; seed < first + Number(values.seeds); seed += 1) {
  const report = await runChaos(seed, Number(values.seconds));
  printReport(report);
  broken += report.violations.length === 0 ? 0 : 1;
}
process.exitCode = broken === 0 ? 0 : 1;
