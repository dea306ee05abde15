/**
 * The options of each kind of stand-in, checked before it starts.
 */
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { describeIssues, toFailures, type SettingsFailures } from '../../core/settings/index.js';
import { nameSchema } from '../../objects/index.js';

const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port');
const span = z.number().nonnegative().optional();
const size = z.number().int().positive().optional();
const rate = z.number().positive();

const standInSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('platform'),
    listen: address,
    instanceLagMs: span,
    readsPerSecond: rate.optional(),
    writesPerSecond: rate.optional(),
  }),
  z.strictObject({
    kind: z.literal('engine'),
    listen: address,
    instance: nameSchema,
    fencing: z.enum(['checked', 'ignored']).optional(),
    loadMs: span,
    startMs: span,
    prefillMsPerToken: span,
    decodeMsPerToken: span,
    batchSize: size,
    queueLength: size,
    cacheTokens: size,
    reportLagMs: span,
    weightStore: address.optional(),
  }),
  z.strictObject({
    kind: z.literal('service'),
    listen: address,
    instance: nameSchema,
    latencyMs: span,
  }),
  z.strictObject({
    kind: z.literal('weights'),
    listen: address,
    bytesPerSecond: rate,
    bytesPerModel: rate,
  }),
  z.strictObject({
    kind: z.literal('proxy'),
    listen: address,
    target: address,
    control: address.optional(),
  }),
]);

export type StandInOptions = z.infer<typeof standInSchema>;

export const STAND_IN_KINDS: readonly StandInOptions['kind'][] = [
  'platform',
  'engine',
  'service',
  'weights',
  'proxy',
];

const ADDRESS_DEFAULT = '127.0.0.1:0';

/** The options of the stand-in `kind`; flags that were not given are undefined. */
export function parseStandIn(
  kind: string,
  flags: Readonly<Record<string, unknown>>,
): Result<StandInOptions, SettingsFailures> {
  const given = Object.entries(flags).filter(([, value]) => value !== undefined);
  const input = { listen: ADDRESS_DEFAULT, ...Object.fromEntries(given), kind };
  const options = standInSchema.safeParse(input);
  if (options.success) return ok(options.data);
  return err(toFailures(`stand-in ${kind}`, describeIssues(options.error, input)));
}
