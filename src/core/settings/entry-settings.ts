/**
 * Schema, defaults and descriptions of the settings of an entry.
 */
import * as z from 'zod';
import { nameSchema } from '../../objects/index.js';

const milliseconds = z.number().int().positive();
const address = z
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port, for example "10.0.0.7:8080"');

export const entrySettingsSchema = z.strictObject({
  name: nameSchema.describe("This entry's name, unique among the entries."),
  region: nameSchema.default('default').describe('The region it runs in.'),
  failureDomain: nameSchema.describe('The failure domain it runs in.'),
  listen: z
    .strictObject({
      callers: address.describe('Where callers reach it; /livez and /readyz are here too.'),
      operators: address.describe('Where operators reach it: objects, status and metrics.'),
      peers: address.describe('Where the other entries reach it.'),
      advertisedPeers: address
        .optional()
        .describe('What it tells the other entries instead, behind a proxy or translation.'),
    })
    .describe('Its own addresses, as IP numbers.'),
  platform: z.strictObject({
    address: address.describe("The platform's object API."),
    timeoutMs: milliseconds.default(2_000).describe('Longest wait for one call.'),
    watchMs: milliseconds.default(20_000).describe('How long one watch waits for a change.'),
  }),
  peers: z.array(address).default([]).describe('Peer addresses to start from.'),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug'])
    .default('info')
    .describe('Least level logged.'),
  callers: z
    .strictObject({
      maxBodyBytes: z
        .number()
        .int()
        .positive()
        .default(1_048_576)
        .describe('Largest request body of a completion.'),
      bodyTimeoutMs: milliseconds
        .default(10_000)
        .describe('Longest time for a request to arrive whole.'),
      workspaceHeader: z
        .string()
        .optional()
        .describe('Trust this header for the workspace; only behind a balancer that sets it.'),
      queueLength: z
        .number()
        .int()
        .positive()
        .default(64)
        .describe('Requests waiting here at most, for each workspace.'),
    })
    .prefault({}),
  replicas: z
    .strictObject({
      leaseMs: milliseconds
        .default(6_000)
        .describe('How long others leave a silent owner of a fabric domain alone.'),
      orderTimeoutMs: milliseconds
        .default(1_000)
        .describe('Longest time one order to an engine takes.'),
      planEveryMs: milliseconds.default(500).describe('How often an owner looks at its domains.'),
    })
    .prefault({}),
  health: z
    .strictObject({
      probeEveryMs: milliseconds
        .default(500)
        .describe('How often an engine is asked for its report.'),
      probeTimeoutMs: milliseconds.default(400).describe('Longest wait for one report.'),
      freshMs: milliseconds
        .default(4_000)
        .describe('A replica with a member unheard for longer gets no requests.'),
    })
    .prefault({}),
  membership: z
    .strictObject({
      digestEveryMs: milliseconds.default(500).describe('How often digests go to other entries.'),
      fanOut: z
        .number()
        .int()
        .positive()
        .default(3)
        .describe('Entries that one round of digests goes to.'),
      bytesPerSecond: z
        .number()
        .int()
        .positive()
        .default(1_500)
        .describe('What digests may take; rounds are skipped while it is used up.'),
      forgetMs: milliseconds
        .default(10_000)
        .describe('An entry unheard for longer is not counted as live.'),
    })
    .prefault({}),
  limits: z
    .strictObject({
      mostEntries: z
        .number()
        .int()
        .positive()
        .default(10)
        .describe('Entries that run at once at most, those being replaced included.'),
      guaranteedFraction: z
        .number()
        .min(0)
        .max(1)
        .default(0.3)
        .describe('Part of each limit that entries may use without any news of the others.'),
      viewFreshMs: milliseconds
        .default(10_000)
        .describe('An entry whose list of entries is older uses its guaranteed part alone.'),
      splitEveryMs: milliseconds.default(250).describe('How often the limits are split anew.'),
    })
    .prefault({}),
  calls: z
    .strictObject({
      unheardClaimMs: milliseconds
        .default(60_000)
        .describe('After this, an unheard entry is given up: its open calls become unknown.'),
    })
    .prefault({}),
  stopping: z
    .strictObject({
      balancerMs: milliseconds
        .default(3_000)
        .describe('How long readiness is off before the listener closes.'),
      drainMs: milliseconds.default(600_000).describe('Longest wait for requests in flight.'),
    })
    .prefault({}),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
