/**
 * What gateways tell each other.
 */
import { z } from 'zod';

const count = z.number().nonnegative();

const knownPeerSchema = z.object({
  name: z.string(),
  address: z.string(),
  failureDomain: z.string(),
});

export const digestSchema = z.object({
  name: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  incarnation: z.string(),
  storeReachable: z.boolean(),
  stopping: z.boolean(),
  hasServed: z.boolean(),
  configurationVersion: count,
  fleetRevision: count,
  /** Requests under way, by backend server. */
  load: z.array(z.tuple([z.string(), count])).max(10_000),
  /** Backend servers at which nothing moves: found how long ago, out of service for how long more. */
  suspicions: z.array(z.object({ server: z.string(), ageMs: count, leftMs: count })).max(10_000),
  /** Gateways that the sender knows; sent to those who ask. */
  known: z.array(knownPeerSchema).max(2_000).optional(),
  asksForKnown: z.boolean().optional(),
});

/** One gateway's news of itself. */
export type Digest = z.infer<typeof digestSchema>;

/** Where another gateway is. */
export type KnownPeer = z.infer<typeof knownPeerSchema>;
