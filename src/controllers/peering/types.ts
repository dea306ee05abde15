/**
 * What gateways tell each other, and what is kept of it.
 */
import * as z from 'zod';
import type { Milliseconds } from '../../core/clock/index.js';
import { requestReportSchema, toldQuarantineSchema } from '../quarantine/index.js';

const count = z.number().nonnegative();
/** Requests under way, by backend server. */
const loadSchema = z.array(z.tuple([z.string(), count])).max(10_000);
/** Backend servers at which nothing moves: found how long ago, out of service for how long more. */
const suspicionsSchema = z
  .array(z.object({ server: z.string(), ageMs: count, leftMs: count }))
  .max(10_000);

/** What the sender saw lately of requests under which servers end. */
const reportsSchema = z.array(requestReportSchema).max(10_000);

export const knownPeerSchema = z.object({
  name: z.string(),
  address: z.string(),
  failureDomain: z.string(),
});

const peerNewsSchema = knownPeerSchema.extend({
  incarnation: z.string(),
  storeReachable: z.boolean(),
  stopping: z.boolean(),
  /** It has had a request to forward since its start. */
  hasServed: z.boolean(),
  configurationVersion: count,
  fleetRevision: count,
  /** Since the version was known to be the newest; absent when it never was. */
  configurationAgeMs: count.optional(),
  /** The same of the revision. */
  fleetAgeMs: count.optional(),
});

/** All gateways of one failure domain, as one of them knows them. */
const domainSummarySchema = z.object({
  failureDomain: z.string(),
  /** Since the gateway that made it did so. */
  ageMs: count,
  /** Any of them has had a request to forward. */
  hasServed: z.boolean(),
  members: z
    .array(
      z.object({
        name: z.string(),
        address: z.string(),
        storeReachable: z.boolean(),
        ageMs: count,
      }),
    )
    .max(1_000),
  /** Of the domain; where it is told to a gateway of the same domain, of all others. */
  load: loadSchema,
  suspicions: suspicionsSchema,
  reports: reportsSchema.optional(),
});

export const digestSchema = peerNewsSchema.extend({
  load: loadSchema,
  suspicions: suspicionsSchema,
  reports: reportsSchema.optional(),
  /** All requests that the sender keeps from the backend servers. */
  quarantined: z.array(toldQuarantineSchema).max(1_000).optional(),
  /** Failure domains that the sender speaks for or passes on. */
  summaries: z.array(domainSummarySchema).max(1_000).optional(),
  /** Gateways that the sender knows; sent to those who ask. */
  known: z.array(knownPeerSchema).max(2_000).optional(),
  asksForKnown: z.boolean().optional(),
});

/** Where another gateway is. */
export type KnownPeer = z.infer<typeof knownPeerSchema>;
/** One gateway's news of itself, and of others where it speaks for them. */
export type Digest = z.infer<typeof digestSchema>;
export type DomainSummary = z.infer<typeof domainSummarySchema>;
export type ToldSuspicion = DomainSummary['suspicions'][number];

/** Another gateway that lives, as far as is known. */
export interface GatewayPeer extends KnownPeer {
  /** When it said so itself, to whomever it was. */
  heardAt: Milliseconds;
  storeReachable: boolean;
  /** It, or one of its failure domain, has had a request to forward since its start. */
  hasServed: boolean;
}
