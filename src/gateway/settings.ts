/**
 * Settings of a gateway: schema, defaults and descriptions.
 */
import * as z from 'zod';

const milliseconds = z.number().int().positive();
const address = z
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port, for example "10.0.0.7:8080"');

export const gatewaySettingsSchema = z.strictObject({
  name: z.string().min(1).max(256).describe("This gateway's name, unique among the gateways."),
  failureDomain: z.string().min(1).max(256).describe('The failure domain it runs in.'),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug'])
    .default('info')
    .describe('Lowest level that is logged.'),
  listen: z.strictObject({
    callers: address.describe('Address for callers.'),
    readiness: address.describe('Address of the readiness checks of the balancer.'),
    peers: address.describe('Address for the other gateways.'),
    metrics: address.describe('Address that serves metrics.'),
  }),
  store: z.strictObject({
    address: address.describe("Address of the platform's object store."),
    timeoutMs: milliseconds.default(1_500).describe('Timeout of one call.'),
    watchMs: milliseconds.default(8_000).describe('Longest wait of one watch for a change.'),
  }),
  configuration: z
    .strictObject({
      applyMs: milliseconds
        .default(2_000)
        .describe('Time within which an acknowledged change must be active.'),
    })
    .prefault({}),
  servers: z
    .strictObject({
      drainMs: milliseconds
        .default(2_000)
        .describe(
          'Time for which a server still serves after the store acknowledged that it is leaving.',
        ),
      heartbeatMs: milliseconds
        .default(1_200)
        .describe('Interval at which a server renews its entry in the store.'),
    })
    .prefault({}),
  seeds: z.array(address).default([]).describe('Peer addresses of gateways used for discovery.'),
  retries: z
    .strictObject({
      ratio: z.number().nonnegative().default(0.1).describe('Retries allowed per request.'),
      windowMs: milliseconds.default(10_000).describe('Window over which retries are counted.'),
      slack: z
        .number()
        .nonnegative()
        .default(20)
        .describe('Additional retries allowed per window, for all gateways together.'),
    })
    .prefault({}),
  engines: z
    .strictObject({
      stallMs: milliseconds
        .default(6_000)
        .describe('Time after which a head that lacks a member gives up its replica.'),
    })
    .prefault({}),
  evacuation: z
    .strictObject({
      evacuateMs: milliseconds.describe(
        'Time after an acknowledged evacuation from which no request may reach the failure domain.',
      ),
    })
    .optional()
    .describe('Follows evacuations of failure domains; off if absent.'),
  coldServers: z
    .strictObject({
      overrun: z
        .number()
        .min(1)
        .describe('Factor by which a cold server may get more than its named rate in one second.'),
      slack: z
        .number()
        .nonnegative()
        .describe('Requests that a cold server may get in one second beyond that.'),
    })
    .optional()
    .describe('Keeps to the rates that cold servers bear; off if absent.'),
  stopping: z
    .strictObject({
      graceMs: milliseconds
        .default(8_000)
        .describe('Longest time from the stop signal to the exit.'),
    })
    .prefault({}),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
