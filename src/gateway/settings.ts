/**
 * The settings of a gateway: schema, defaults and documentation in one place.
 */
import * as z from 'zod';

const milliseconds = z.number().int().positive();
const address = z
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port, for example "10.0.0.7:8080"');

export const gatewaySettingsSchema = z.strictObject({
  name: z.string().min(1).describe("This gateway's name, unique among the gateways."),
  failureDomain: z.string().min(1).describe('The failure domain it runs in.'),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug'])
    .default('info')
    .describe('Least level logged.'),
  listen: z.strictObject({
    callers: address.describe('Where callers reach it.'),
    readiness: address.describe('Where the balancer asks whether it takes callers.'),
    peers: address.describe('Where the other gateways reach it.'),
    metrics: address.describe('Where metrics are served.'),
  }),
  store: z.strictObject({
    address: address.describe("The platform's object store."),
    timeoutMs: milliseconds.default(1_500).describe('Longest wait for one call.'),
    watchMs: milliseconds.default(8_000).describe('How long one watch waits for a change.'),
  }),
  configuration: z
    .strictObject({
      applyMs: milliseconds
        .default(2_000)
        .describe('After this a change that the store has acknowledged must be in force.'),
    })
    .prefault({}),
  servers: z
    .strictObject({
      drainMs: milliseconds
        .default(2_000)
        .describe('A server serves on for this long after the store has taken its word to leave.'),
    })
    .prefault({}),
  seeds: z.array(address).default([]).describe('Peer addresses of some gateways to start from.'),
  retries: z
    .strictObject({
      ratio: z.number().nonnegative().default(0.1).describe('Repeats allowed for each request.'),
      windowMs: milliseconds.default(10_000).describe('Span that repeats are counted over.'),
      slack: z
        .number()
        .nonnegative()
        .default(20)
        .describe('Repeats allowed in a window beyond that, for all gateways together.'),
    })
    .prefault({}),
  engines: z
    .strictObject({
      stallMs: milliseconds
        .default(6_000)
        .describe('After this a head without one of its members gives its replica up.'),
    })
    .prefault({}),
  stopping: z
    .strictObject({
      graceMs: milliseconds.default(8_000).describe('Longest time from the signal to the end.'),
    })
    .prefault({}),
});

/** Everything a gateway is told about its place. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
