/**
 * `yuccasail dev`: the whole system on one machine, with an example answer to show the main job.
 */
import { createSystemClock } from '../../core/clock/index.js';
import { parseCommandLine } from '../command-line.js';
import type { Exit } from '../exit-codes.js';
import { waitForStopSignal } from '../lifetime.js';
import { printLine } from '../output.js';
import { askExample, EXAMPLE_REQUEST, type ExampleOutcome } from './example-answer.js';
import { EXAMPLE_KEY, EXAMPLE_SERVICE } from './example-objects.js';
import { startSite, type Site, type SiteEntry } from './site.js';

const HELP = `
Usage
  $ yuccasail dev

Runs a platform, eight engines in two fabric domains, a plain service and three entries in one
process, streams one example answer and prints curl lines to try. Ctrl-C stops it.

Options
  --once  Stop after the example answer: exit with 0 when it was whole, else with 6
`;

const PATIENCE_MS = 30_000;

export async function runDev(argv: readonly string[]): Promise<Exit> {
  const { flags } = parseCommandLine({ help: HELP, argv, flags: { once: { type: 'boolean' } } });
  const stopSignal = waitForStopSignal();
  const site = await startSite();
  const exit = await showExample(site);
  if (!flags.once) {
    printCurlLines(site);
    await stopSignal;
  }
  await site.stop();
  return flags.once ? exit : 'done';
}

async function showExample({ entries }: Site): Promise<Exit> {
  const [first] = entries;
  if (first === undefined) return 'unexpected';
  printLine(`${entries.length} entries are up. Asking ${first.name}:`);
  printLine(`> ${EXAMPLE_REQUEST.messages[0].content}`);
  const show = (text: string): void => {
    process.stdout.write(text);
  };
  const outcome = await askExample(first.callersAddress, show, createSystemClock(), PATIENCE_MS);
  printLine(`\n${describeOutcome(outcome)}\n`);
  return outcome.kind === 'whole' ? 'done' : 'failedAnswers';
}

function describeOutcome(outcome: ExampleOutcome): string {
  switch (outcome.kind) {
    case 'whole':
      return `The answer is whole: ${outcome.tokens} tokens.`;
    case 'failed':
      return `The answer is not whole: ${outcome.reason}`;
  }
}

function printCurlLines({ entries, platformAddress }: Site): void {
  const [first, second] = entries;
  if (first === undefined || second === undefined) return;
  printLine('Try, in another terminal:\n');
  for (const line of listCurlLines(first, second)) printLine(`${line}\n`);
  printLine(`The platform's stand-in is at ${platformAddress}. Ctrl-C stops everything.`);
}

function listCurlLines(first: SiteEntry, second: SiteEntry): string[] {
  const authorization = `-H 'Authorization: Bearer ${EXAMPLE_KEY}'`;
  const json = `-H 'Content-Type: application/json'`;
  const office = `/services/${EXAMPLE_SERVICE}`;
  return [
    `curl -N http://${second.callersAddress}/v1/chat/completions ${authorization} ${json} -d '${JSON.stringify(EXAMPLE_REQUEST)}'`,
    `curl http://${first.callersAddress}/v1/models ${authorization}`,
    `curl -X POST http://${first.callersAddress}${office}/passes ${authorization} -H 'Idempotency-Key: lorry-1' -d '{"holder":"Sari"}'`,
    `curl http://${first.callersAddress}${office}/passes/1 ${authorization}`,
    `curl http://${first.operatorsAddress}/status`,
    `curl http://${first.operatorsAddress}/metrics`,
  ];
}
