/**
 * `yuccasail stand-in`: a stand-in for an outside system, as a process of its own.
 */
import { parseCommandLine } from '../command-line.js';
import type { Exit } from '../exit-codes.js';
import { waitForStopSignal } from '../lifetime.js';
import { printFailures, printJson } from '../output.js';
import { parseStandIn, STAND_IN_KINDS } from './options.js';
import { startStandIn } from './start.js';

const HELP = `
Usage
  $ yuccasail stand-in <kind> --listen <host:port> [options]

Kinds and their options
  platform  --instance-lag-ms --reads-per-second --writes-per-second
  engine    --instance (required) --fencing checked|ignored --load-ms --start-ms
            --prefill-ms-per-token --decode-ms-per-token --batch-size --queue-length
            --cache-tokens --report-lag-ms --weight-store <host:port>
  service   --instance (required) --latency-ms
  weights   --bytes-per-second (required) --bytes-per-model (required)
  proxy     --target <host:port> (required) --control <host:port>

Prints one JSON line with its address when it listens; port 0 takes a free one. Stops at SIGTERM.
`;

const FLAGS = {
  listen: { type: 'string' },
  instance: { type: 'string' },
  target: { type: 'string' },
  control: { type: 'string' },
  fencing: { type: 'string' },
  weightStore: { type: 'string' },
  instanceLagMs: { type: 'number' },
  readsPerSecond: { type: 'number' },
  writesPerSecond: { type: 'number' },
  loadMs: { type: 'number' },
  startMs: { type: 'number' },
  prefillMsPerToken: { type: 'number' },
  decodeMsPerToken: { type: 'number' },
  batchSize: { type: 'number' },
  queueLength: { type: 'number' },
  cacheTokens: { type: 'number' },
  reportLagMs: { type: 'number' },
  latencyMs: { type: 'number' },
  bytesPerSecond: { type: 'number' },
  bytesPerModel: { type: 'number' },
} as const;

export async function runStandIn(argv: readonly string[]): Promise<Exit> {
  const { flags, input, showHelp } = parseCommandLine({ help: HELP, argv, flags: FLAGS });
  const [kind = ''] = input;
  if (!STAND_IN_KINDS.some((known) => known === kind)) return showHelp();
  const options = parseStandIn(kind, flags);
  if (options.isErr()) {
    printFailures(options.error);
    return 'usage';
  }
  const stopSignal = waitForStopSignal();
  const started = await startStandIn(options.value);
  if (started.isErr()) {
    printFailures([started.error]);
    return 'unreachable';
  }
  const { address, controlAddress, stop } = started.value;
  printJson({ listening: { address, controlAddress } });
  await stopSignal;
  await stop();
  return 'done';
}
